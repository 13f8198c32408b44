package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"coltsfootlink"
	"coltsfootlink/explain"
	"coltsfootlink/gen/operators"
	"coltsfootlink/language"
	"coltsfootlink/operator"
	"coltsfootlink/platform"
)

// maxPromptTokens is the largest prompt that gateways take.
const maxPromptTokens = 1 << 24

// explanationDocument is the JSON form of an explanation, as --json prints it.
type explanationDocument struct {
	Instance string     `json:"instance"`
	Zone     string     `json:"zone"`
	Rule     string     `json:"rule"`
	Pool     string     `json:"pool"`
	Notes    []string   `json:"notes"`
	Columns  []string   `json:"columns"`
	Rows     [][]string `json:"rows"`
	Missing  []string   `json:"missing"`
	// Target takes the request; empty if it would be refused.
	Target        string `json:"target"`
	Reason        string `json:"reason"`
	Detail        string `json:"detail"`
	RetryInMillis int64  `json:"retry-in-ms"`
}

// explain prints where a request would go if the gateway, or one of the given zone, received it.
func (session *peerSession) explain(ctx context.Context, asker operator.Asker, statement language.Explain) error {
	explainer := &operator.Explainer{Asker: asker, Clock: coltsfootlink.SystemClock{}}
	result, err := explainer.Explain(ctx, session.address, requestOf(statement))
	if err != nil {
		return err
	}
	if session.json {
		return json.NewEncoder(session.out).Encode(documentOf(result))
	}
	return session.printExplanation(result)
}

// requestOf returns the request that a statement describes. Without token counts, the prompt has the size of its parts.
func requestOf(statement language.Explain) explain.Request {
	work := platform.ParseWork(statement.Model, statement.Tokens, statement.Prompt)
	if statement.Tokens == "" {
		for _, part := range work.Prompt {
			work.PromptTokens = min(work.PromptTokens+part.Tokens, maxPromptTokens)
		}
	}
	return explain.Request{
		Host: statement.Host, Path: statement.Path, Team: statement.Team, Pool: statement.Pool, ID: statement.Request,
		Work: work, Fingerprint: statement.Fingerprint, Zone: statement.Zone,
	}
}

func (session *peerSession) printExplanation(result explain.Result) error {
	plan := result.Plan
	_, _ = fmt.Fprintf(session.out, "received by %s in zone %s: route %s, pool %s\n", plan.Instance, plan.Zone, orNone(plan.Rule), orNone(string(plan.Pool)))
	for _, note := range plan.Notes {
		_, _ = fmt.Fprintln(session.out, "note:", note)
	}
	if len(result.Rows) > 0 {
		table := result.Table()
		answer := &operators.RunResult{Columns: table.Columns, Missing: names(result.Missing)}
		for _, cells := range table.Rows {
			answer.Rows = append(answer.Rows, &operators.Row{Cells: cells})
		}
		if err := session.print(answer); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(session.out, result.Text())
	return err
}

func documentOf(result explain.Result) explanationDocument {
	table := result.Table()
	document := explanationDocument{
		Instance: string(result.Plan.Instance), Zone: string(result.Plan.Zone), Rule: result.Plan.Rule, Pool: string(result.Plan.Pool),
		Notes: result.Plan.Notes, Columns: table.Columns, Rows: table.Rows, Missing: names(result.Missing),
		Target: string(result.Target), Reason: string(result.Reason), Detail: result.Detail, RetryInMillis: result.RetryIn.Milliseconds(),
	}
	if document.Notes == nil {
		document.Notes = []string{}
	}
	if document.Rows == nil {
		document.Rows = [][]string{}
	}
	return document
}

func names(instances []coltsfootlink.InstanceName) []string {
	texts := make([]string, 0, len(instances))
	for _, instance := range instances {
		texts = append(texts, string(instance))
	}
	return texts
}

func orNone(text string) string {
	if strings.TrimSpace(text) == "" {
		return "none"
	}
	return strconv.Quote(text)
}
