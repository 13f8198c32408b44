package ingress

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/share"
)

// BenchmarkRefused measures what the handler spends on a request that is refused for exceeding its team's share, with
// the rules and teams of a large site.
func BenchmarkRefused(b *testing.B) {
	var rules []coltsfootlink.RoutingRule
	for index := range 40 {
		rules = append(rules, coltsfootlink.RoutingRule{
			Name: fmt.Sprint("rule-", index), Host: fmt.Sprint("h", index%4), Prefix: fmt.Sprintf("/r%d/", index), Priority: index % 4,
			Kind: coltsfootlink.StreamRequest, Timeout: time.Second, Objective: time.Second, MaxAttempts: 2,
			Splits: []coltsfootlink.Split{{Pool: coltsfootlink.PoolName(fmt.Sprint("p", index%5)), Weight: 1}},
		})
	}
	table := coltsfootlink.RoutingTable{Version: 1}.WithRules(rules)
	for index := range 60 {
		team := coltsfootlink.TeamName(fmt.Sprint("team-", index))
		table = table.WithKeys(team, []string{fmt.Sprint("key-", index)}).WithPriority(team, index%3)
	}
	gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop()}
	gate.setCatalog(coltsfootlink.Catalog{}.WithTable(table))
	standings := share.Standings{}.WithShares(time.Now().Add(time.Hour), coltsfootlink.Shares{Pool: "p1", Teams: []coltsfootlink.TeamShare{{Team: "team-7"}}})
	gate.standings.Store(&standings)
	service := &Service{
		Gate: gate, Clock: coltsfootlink.SystemClock{}, Dispatch: mailbox.NewDeliveries(), Log: zerolog.New(io.Discard).With().Timestamp().Logger(),
		Connections: new(atomic.Int64), MaxConnections: 100, MaxActive: 100, MaxWaiting: 100,
	}
	incoming := httptest.NewRequest(http.MethodPost, "/r1/a", nil)
	incoming.Host = "h1"
	for name, value := range map[string]string{
		"Attempt-Id": "9c41d07be2a35f68", "Model": "m", "Token-Counts": "1460,80", "Authorization": "Bearer key-7", "Time-Left-Ms": "15000",
		"Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	} {
		incoming.Header.Set(name, value)
	}
	body := strings.Repeat("x", 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		incoming.Body = io.NopCloser(strings.NewReader(body))
		answer := httptest.NewRecorder()
		service.ServeHTTP(answer, incoming)
		if answer.Code != http.StatusServiceUnavailable || len(service.Dispatch.Drain()) != 1 {
			b.Fatal("the request was not refused by its team's share")
		}
	}
}
