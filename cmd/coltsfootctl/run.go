package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	goahttp "goa.design/goa/v3/http"

	"coltsfootlink/gen/http/operators/client"
	"coltsfootlink/gen/operators"
	"coltsfootlink/language"
)

const (
	// answerTimeout is the timeout of one statement.
	answerTimeout = 15 * time.Second
	// prompt is printed before each statement that is read interactively.
	prompt = "coltsfoot> "
)

// session runs statements on one instance and prints the answers.
type session struct {
	client *client.Client
	token  string
	json   bool
	out    io.Writer
}

func run(arguments []string, in io.Reader, out io.Writer) error {
	flags := ff.NewFlagSet("coltsfootctl")
	address := flags.StringLong("address", "http://127.0.0.1:8081", "URL of the port for operators of an instance")
	token := flags.StringLong("token", "", "the operators' token")
	peerAddress := flags.StringLong("peer", "", "address for other instances of a gateway; it is asked instead of an instance's port for operators")
	asJSON := flags.BoolLong("json", "print JSON")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("COLTSFOOTCTL"))
	if errors.Is(err, ff.ErrHelp) {
		_, err = fmt.Fprint(out, ffhelp.Flags(flags, "coltsfootctl [flags] [statement]"))
		return err
	}
	if err != nil {
		return err
	}
	if *peerAddress != "" {
		if _, _, err := net.SplitHostPort(*peerAddress); err != nil {
			return errors.Newf("--peer %q is not an address with a port", *peerAddress)
		}
		return (&peerSession{address: *peerAddress, token: *token, session: session{json: *asJSON, out: out}}).run(strings.Join(flags.GetArgs(), " "))
	}
	target, err := url.Parse(*address)
	if err != nil || target.Host == "" {
		return errors.Newf("--address %q is not a URL", *address)
	}
	session := &session{
		client: client.NewClient(target.Scheme, target.Host, &http.Client{}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false),
		token:  *token,
		json:   *asJSON,
		out:    out,
	}
	if words := flags.GetArgs(); len(words) > 0 {
		return session.runStatement(strings.Join(words, " "))
	}
	return session.readStatements(in)
}

// readStatements reads statements interactively, one per line, and runs each. Errors are printed and do not end the
// session.
func (session *session) readStatements(in io.Reader) error {
	lines := bufio.NewScanner(in)
	for {
		_, _ = fmt.Fprint(session.out, prompt)
		if !lines.Scan() {
			return lines.Err()
		}
		line := strings.TrimSpace(lines.Text())
		switch line {
		case "":
			continue
		case "quit", "exit":
			return nil
		case "help":
			_, _ = fmt.Fprintln(session.out, "keywords:", strings.Join(language.Keywords(), " "))
			continue
		}
		if err := session.runStatement(line); err != nil {
			_, _ = fmt.Fprintln(session.out, err)
		}
	}
}

// runStatement runs one statement and prints its answer. Syntax errors are reported without asking the instance. The file
// of an apply statement is read here and its content is sent along.
func (session *session) runStatement(text string) error {
	authorization := "Bearer " + session.token
	payload := &operators.RunPayload{Authorization: &authorization, Statement: text}
	parsed, err := language.Parse(time.Now(), text)
	if err != nil {
		return pointAt(text, err)
	}
	if parsed.Apply != nil {
		document, err := os.ReadFile(parsed.Apply.File)
		if err != nil {
			return errors.Wrap(err, "reading the document to apply")
		}
		content := string(document)
		payload.Document = &content
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(answerTimeout))
	defer cancel()
	answer, err := session.client.Run()(ctx, payload)
	if err != nil {
		return rejection(err)
	}
	result, is := answer.(*operators.RunResult)
	if !is {
		return errors.Newf("unexpected answer: want *operators.RunResult, got %T", answer)
	}
	return session.print(result)
}

// pointAt adds to a syntax error the statement and a caret under the column of the error; it returns other errors
// unchanged.
func pointAt(text string, err error) error {
	var syntax *language.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	pointer := strings.Repeat(" ", max(0, syntax.Column-1)) + "^"
	return errors.Newf("column %d: %s\n%s\n%s", syntax.Column, syntax.Text, text, pointer)
}

// rejection returns the findings of a rejected statement as one error, one per line; it returns other errors unchanged.
func rejection(err error) error {
	var rejected *operators.Rejected
	if !errors.As(err, &rejected) {
		return err
	}
	lines := make([]string, 0, len(rejected.Findings))
	for _, finding := range rejected.Findings {
		lines = append(lines, finding.Place+": "+finding.Text)
	}
	return errors.Newf("%s: %s", rejected.Name, strings.Join(lines, "\n"))
}
