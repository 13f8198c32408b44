package main

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/credentials/insecure"

	"coltsfootlink"
	"coltsfootlink/admission"
	"coltsfootlink/dispatch"
	"coltsfootlink/engine"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/operator"
	"coltsfootlink/peer"
	"coltsfootlink/quarantine"
	"coltsfootlink/settings"
	"coltsfootlink/timeline"
)

// startGateway runs the tasks of a gateway that explain requests.
func startGateway(t *testing.T, self coltsfootlink.Instance, catalog coltsfootlink.Catalog, view coltsfootlink.View) {
	owner, dispatcher := mailbox.NewDeliveries(), mailbox.NewDeliveries()
	router := &peer.Router{Self: self.Name, Links: mailbox.New[peer.Outgoing](), Admission: owner, Dispatch: dispatcher}
	clock, defaults := coltsfootlink.SystemClock{}, settings.GatewayDefaults()
	rates := engine.Rates(defaults.Engine)
	policy := admission.Policy{Rates: rates, ObjectiveShare: defaults.Admission.ObjectiveShare, LargeShare: defaults.Admission.LargeShare, MemoryShare: defaults.Admission.MemoryShare}
	for _, inbox := range []*mailbox.Deliveries{owner, dispatcher} {
		inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
		inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
	}
	dispatcher.Put(coltsfootlink.Delivery{Message: quarantine.Changed{View: quarantine.View{}.WithSynced(true)}})
	tasks := []interface {
		Run(ctx context.Context) error
	}{
		&admission.Task{Self: self.Name, Policy: policy, Clock: clock, Sender: router, Log: zerolog.Nop(), Inbox: owner, Prober: mailbox.NewDeliveries()},
		&dispatch.Task{Self: self, Clock: clock, Sender: router, Log: zerolog.Nop(), Inbox: dispatcher, Rates: rates},
		&peer.Server{
			Address: self.PeerAddress, Token: "secret", Secure: insecure.NewCredentials(), Stamper: &timeline.HybridClock{Clock: clock}, Router: router, Log: zerolog.Nop(),
			Answerer: &operator.Answerer{Tasks: map[coltsfootlink.Subject]*mailbox.Deliveries{
				coltsfootlink.ExplainSubject: dispatcher, coltsfootlink.ExplainTargetsSubject: owner, coltsfootlink.TargetsSubject: owner,
			}},
		},
	}
	for _, task := range tasks {
		go func() { _ = task.Run(t.Context()) }()
	}
}

// TestExplain guards against a tool that does not reach the owners of targets, hides those that are not reached, or reserves
// capacity.
func TestExplain(t *testing.T) {
	Convey("requests are explained by two gateways, while the owner of a third target is down", t, func() {
		var view coltsfootlink.View
		rule := coltsfootlink.RoutingRule{Name: "chat", Host: "h", Prefix: "/", Splits: []coltsfootlink.Split{{Pool: "p", Weight: 1}}, Timeout: time.Minute, Objective: time.Second}
		table := coltsfootlink.RoutingTable{}.WithRules([]coltsfootlink.RoutingRule{rule}).WithPool(coltsfootlink.PoolTraits{Name: "p", Engine: true, MemoryTokens: 100_000})
		catalog := coltsfootlink.Catalog{}.WithTable(table)
		for _, zone := range []coltsfootlink.ZoneName{"a", "b", "c"} {
			address, err := loopback.FreeAddress()
			So(err, ShouldBeNil)
			self := coltsfootlink.Instance{Name: coltsfootlink.InstanceName("gateway-" + zone), Zone: zone, PeerAddress: address, Capacity: 1}
			view.Members = append(view.Members, coltsfootlink.Member{Instance: self, Live: true})
			catalog = catalog.WithTarget(coltsfootlink.Target{Name: coltsfootlink.TargetName("target-" + zone), Pool: "p", Zone: zone, Slots: 4})
		}
		startGateway(t, view.Members[0].Instance, catalog, view)
		startGateway(t, view.Members[1].Instance, catalog, view)
		run := func(statement string, asJSON bool) (string, error) {
			out := new(bytes.Buffer)
			err := (&peerSession{address: view.Members[0].PeerAddress, token: "secret", session: session{json: asJSON, out: out}}).run(statement)
			return out.String(), err
		}
		const request = "explain host h path / prompt shared:500,own:20 tokens 520,100"
		// New owners grant nothing at first, and the servers may not listen yet.
		awaitGrant := func() string {
			for deadline := time.Now().Add(5 * time.Second); ; coltsfootlink.Sleep(t.Context(), 20*time.Millisecond) {
				if out, err := run(request, false); err == nil && strings.Contains(out, "would go to") || time.Now().After(deadline) {
					return out
				}
			}
		}
		out := awaitGrant()
		So(out, ShouldStartWith, `received by gateway-a in zone a: route "chat", pool "p"`)
		for _, text := range []string{"target-a", "target-b", "target-c", "incomplete: no answer from gateway-c"} {
			So(out, ShouldContainSubstring, text)
		}
		targets, err := run("show targets where requests = 0", false)
		So(err, ShouldBeNil)
		So(targets, ShouldContainSubstring, "target-a")

		out, err = run(request+" in zone b", true)
		So(err, ShouldBeNil)
		var document explanationDocument
		So(json.Unmarshal([]byte(out), &document), ShouldBeNil)
		So(document.Instance, ShouldEqual, "gateway-b")
		So(document.Target, ShouldBeIn, "target-a", "target-b")
		So(document.Missing, ShouldResemble, []string{"gateway-c"})
		So(document.Rows, ShouldHaveLength, 3)

		out, err = run("explain host other path /", false)
		So(err, ShouldBeNil)
		So(out, ShouldEndWith, "would be refused: unknown-route (no route matches)\n")
		for zone, text := range map[string]string{"c": "no instance in zone c answers", "d": "knows no live instance in zone d"} {
			_, err = run(request+" in zone "+zone, false)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, text)
		}
	})
}
