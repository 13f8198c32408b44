package standin

// Table is a configuration that operators write to the store.
type Table struct {
	Version int
	// Host is the host name of all routes.
	Host     string
	Routes   []TableRoute
	Services []TableService
	// Keys holds the API keys of each team.
	Keys map[string][]string
	// MaxBodyBytes is the size limit of request bodies.
	MaxBodyBytes int
	// TokensPerSecond is the rate that operators guarantee for the engines.
	TokensPerSecond float64
}

// TableRoute is a route of a configuration. ObjectiveMillis is its latency objective.
type TableRoute struct {
	Name, Kind, Service            string
	TimeoutMillis, ObjectiveMillis int64
	Attempts                       int
	Resumable                      bool
}

// TableService is a service (a pool of targets) of a configuration.
type TableService struct {
	Name string
	// ConnectionLimit is the number of connections that each target accepts.
	ConnectionLimit int
	// ColdSeconds is the duration of a target's cold start, and ColdPerSecond the rate of requests that it sustains during
	// that time.
	ColdSeconds, ColdPerSecond float64
	// MemoryTokens is the KV cache capacity of an engine in tokens; zero for services that are not engines.
	MemoryTokens int
}

// Document returns the configuration in the form in which the store holds it as JSON.
func (table Table) Document() map[string]any {
	var routes, services, teams []any
	for _, route := range table.Routes {
		routes = append(routes, map[string]any{
			"name": route.Name, "host": table.Host, "path_prefix": "/" + route.Name + "/", "kind": route.Kind, "timeout_ms": route.TimeoutMillis,
			"target_latency_ms": route.ObjectiveMillis, "service": route.Service, "max_attempts": route.Attempts, "resumable": route.Resumable,
		})
	}
	for _, service := range table.Services {
		document := map[string]any{
			"name": service.Name, "connection_limit": service.ConnectionLimit, "cold_start_s": service.ColdSeconds, "cold_per_s": service.ColdPerSecond, "health_path": "/health",
		}
		if service.MemoryTokens > 0 {
			document["engine"] = map[string]any{"kv_capacity_tokens": service.MemoryTokens}
		}
		services = append(services, document)
	}
	for team, keys := range table.Keys {
		teams = append(teams, map[string]any{"name": team, "api_keys": keys})
	}
	return map[string]any{
		"version": table.Version, "routes": routes, "services": services, "tenants": teams,
		"limits": map[string]any{
			"max_body_bytes": table.MaxBodyBytes, "max_header_bytes": 16384, "header_timeout_ms": 5000, "idle_timeout_ms": 15000, "tokens_per_s": table.TokensPerSecond,
		},
	}
}
