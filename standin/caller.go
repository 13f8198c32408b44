package standin

import (
	"fmt"
	"net/http"
	"time"

	"coltsfootlink"
	"coltsfootlink/platform"
)

// callerModel is the model that stand-in callers name.
const callerModel = "m"

// SetCaller puts what a caller says of a request into its headers; the target is the one that has to have it, empty for
// any.
func SetCaller(header http.Header, head platform.CallerHead, target string) {
	prompt := ""
	for place, part := range head.Work.Prompt {
		if place > 0 {
			prompt += ","
		}
		prompt += fmt.Sprintf("%x:%d", part.Key, part.Tokens)
	}
	header.Set(RequestIDHeader, string(head.ID))
	header.Set(LeftHeader, fmt.Sprint(time.Until(head.Deadline).Milliseconds()))
	header.Set("Authorization", "Bearer "+head.Key)
	header.Set("Model", callerModel)
	header.Set(TokensHeader, fmt.Sprintf("%d,%d", head.Work.PromptTokens, head.Work.OutputTokens))
	header.Set(PromptHeader, prompt)
	if target != "" {
		header.Set(ExpectTargetHeader, target)
	}
}

// EngineTable is the document of a routing table for one pool of engines, whose teams' names are their keys.
func EngineTable(rules []coltsfootlink.RoutingRule, pool coltsfootlink.PoolTraits, teams []string, tokensPerSecond float64) any {
	var routes, tenants []any
	for _, rule := range rules {
		routes = append(routes, map[string]any{
			"name": rule.Name, "host": rule.Host, "path_prefix": rule.Prefix, "kind": "streaming", "service": pool.Name,
			"timeout_ms": rule.Timeout.Milliseconds(), "target_latency_ms": rule.Objective.Milliseconds(), "max_attempts": rule.MaxAttempts,
		})
	}
	for _, team := range teams {
		tenants = append(tenants, map[string]any{"name": team, "api_keys": []string{team}})
	}
	return map[string]any{
		"version": 1, "routes": routes, "tenants": tenants,
		"limits": map[string]any{"max_body_bytes": 1 << 20, "idle_timeout_ms": 15000, "tokens_per_s": tokensPerSecond},
		"services": []any{map[string]any{
			"name": pool.Name, "connection_limit": pool.ConnectionLimit, "engine": map[string]any{"kv_capacity_tokens": pool.MemoryTokens},
		}},
	}
}
