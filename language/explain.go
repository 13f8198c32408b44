package language

import (
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"coltsfootlink"
)

// maxTokens is the largest number of tokens that a statement may give; gateways take no larger ones from callers either.
const maxTokens = 1 << 24

type explainNode struct {
	Host    string        `parser:"'host' @( Word | String )"`
	Path    string        `parser:"'path' @( Word | String )"`
	Clauses []*clauseNode `parser:"@@*"`
}

// clauseNode is one of the clauses of an explain statement; they may be in any order.
type clauseNode struct {
	Pos         lexer.Position
	Team        *valueNode `parser:"'team' @@"`
	Pool        *valueNode `parser:"| 'pool' @@"`
	Request     *valueNode `parser:"| 'request' @@"`
	Model       *valueNode `parser:"| 'model' @@"`
	Prompt      *valueNode `parser:"| 'prompt' @@"`
	Tokens      *valueNode `parser:"| 'tokens' @@"`
	Fingerprint *valueNode `parser:"| 'fingerprint' @@"`
	Zone        *valueNode `parser:"| 'in' 'zone' @@"`
}

type valueNode struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

func explain(node *explainNode) (Statement, error) {
	request := &Explain{Host: node.Host, Path: node.Path}
	given := make(map[string]bool)
	for _, clause := range node.Clauses {
		name, value := clause.value()
		if given[name] {
			return Statement{}, &SyntaxError{Column: clause.Pos.Column, Text: name + " is given twice"}
		}
		given[name] = true
		switch name {
		case "team":
			request.Team = coltsfootlink.TeamName(value.Text)
		case "pool":
			request.Pool = coltsfootlink.PoolName(value.Text)
		case "request":
			request.Request = coltsfootlink.RequestID(value.Text)
		case "model":
			request.Model = value.Text
		case "prompt":
			request.Prompt = value.Text
			if !validPrompt(value.Text) {
				return Statement{}, &SyntaxError{Column: value.Pos.Column, Text: "expected the parts of a prompt as ID:TOKENS,ID:TOKENS, found " + quote(value.Text)}
			}
		case "tokens":
			request.Tokens = value.Text
			if !validCounts(value.Text) {
				return Statement{}, &SyntaxError{Column: value.Pos.Column, Text: "expected the tokens of the prompt and of the output as IN,OUT, found " + quote(value.Text)}
			}
		case "fingerprint":
			fingerprint, err := strconv.ParseUint(value.Text, 16, 64)
			if err != nil {
				return Statement{}, &SyntaxError{Column: value.Pos.Column, Text: "expected a fingerprint in hexadecimal as the log has it, found " + quote(value.Text)}
			}
			request.Fingerprint = fingerprint
		default:
			request.Zone = coltsfootlink.ZoneName(value.Text)
		}
	}
	return Statement{Explain: request}, nil
}

// value returns the keyword and the value of a clause.
func (clause *clauseNode) value() (string, *valueNode) {
	values := []struct {
		name  string
		value *valueNode
	}{
		{"team", clause.Team}, {"pool", clause.Pool}, {"request", clause.Request}, {"model", clause.Model},
		{"prompt", clause.Prompt}, {"tokens", clause.Tokens}, {"fingerprint", clause.Fingerprint},
	}
	for _, candidate := range values {
		if candidate.value != nil {
			return candidate.name, candidate.value
		}
	}
	return "zone", clause.Zone
}

// validPrompt reports whether a text lists parts of a prompt with their sizes.
func validPrompt(text string) bool {
	for part := range strings.SplitSeq(text, ",") {
		id, tokens, found := strings.Cut(part, ":")
		if !found || id == "" || !validTokens(tokens) {
			return false
		}
	}
	return true
}

// validCounts reports whether a text gives the tokens of a prompt and of the output.
func validCounts(text string) bool {
	prompt, output, found := strings.Cut(text, ",")
	return found && validTokens(prompt) && validTokens(output)
}

func validTokens(text string) bool {
	number, err := strconv.Atoi(text)
	return err == nil && number >= 0 && number <= maxTokens
}
