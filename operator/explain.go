package operator

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/explain"
)

// ownerTimeout is the timeout of a query to the owner of targets. Dispatch waits a shorter time, but over connections that are
// open.
const ownerTimeout = 500 * time.Millisecond

// Explainer asks a gateway and the owners of targets where a request would go.
type Explainer struct {
	Asker Asker
	Clock coltsfootlink.Clock
}

// Explain returns where a request would go if the instance at the address, or one of the zone of the request, received it.
func (explainer *Explainer) Explain(ctx context.Context, address string, request explain.Request) (explain.Result, error) {
	plan, err := explainer.plan(ctx, address, request)
	if err != nil {
		return explain.Result{}, err
	}
	if request.Zone != "" && plan.Zone != request.Zone {
		if plan, err = explainer.planInZone(ctx, plan, request); err != nil {
			return explain.Result{}, err
		}
	}
	return plan.Resolve(explainer.answers(ctx, plan)), nil
}

// planInZone returns the plan of the first instance of the request's zone that answers.
func (explainer *Explainer) planInZone(ctx context.Context, plan explain.Plan, request explain.Request) (explain.Plan, error) {
	if len(plan.Elsewhere) == 0 {
		return plan, errors.Newf("instance %s knows no live instance in zone %s", plan.Instance, request.Zone)
	}
	var failures []string
	for _, address := range plan.Elsewhere {
		local, err := explainer.planWithin(ctx, address, request)
		if err == nil && local.Zone == request.Zone {
			return local, nil
		}
		if err != nil {
			failures = append(failures, address+": "+err.Error())
		}
	}
	return plan, errors.Newf("no instance in zone %s answers: %s", request.Zone, strings.Join(failures, "; "))
}

// planWithin is plan with the timeout of a query to an owner.
func (explainer *Explainer) planWithin(ctx context.Context, address string, request explain.Request) (explain.Plan, error) {
	ctx, cancel := context.WithDeadline(ctx, explainer.Clock.Now().Add(ownerTimeout))
	defer cancel()
	return explainer.plan(ctx, address, request)
}

// plan returns what the instance at the address would do with a request.
func (explainer *Explainer) plan(ctx context.Context, address string, request explain.Request) (explain.Plan, error) {
	arguments, err := explain.Arguments(request)
	if err != nil {
		return explain.Plan{}, err
	}
	table, err := explainer.Asker.Ask(ctx, address, coltsfootlink.Query{Subject: coltsfootlink.ExplainSubject, Arguments: arguments})
	if err != nil {
		return explain.Plan{}, err
	}
	return explain.ParseTable[explain.Plan](table)
}

// answers asks all owners of a plan's targets at the same time. Those that do not answer in time are left out.
func (explainer *Explainer) answers(ctx context.Context, plan explain.Plan) map[coltsfootlink.TargetName]explain.Answer {
	ctx, cancel := context.WithDeadline(ctx, explainer.Clock.Now().Add(ownerTimeout))
	defer cancel()
	targets := make(map[string][]coltsfootlink.TargetName)
	for _, candidate := range plan.Asked() {
		targets[candidate.OwnerAddress] = append(targets[candidate.OwnerAddress], candidate.Target)
	}
	received := make(chan explain.Answers, len(targets))
	for address, owned := range targets {
		go func() { received <- explainer.ask(ctx, address, plan.Inquiry.WithTargets(owned)) }()
	}
	answers := make(map[coltsfootlink.TargetName]explain.Answer)
	for range targets {
		for _, answer := range (<-received).Answers {
			answers[answer.Target] = answer
		}
	}
	return answers
}

// ask returns the answers of one owner; none if it does not answer.
func (explainer *Explainer) ask(ctx context.Context, address string, inquiry explain.TargetInquiry) explain.Answers {
	arguments, err := explain.Arguments(inquiry)
	if err != nil {
		return explain.Answers{}
	}
	table, err := explainer.Asker.Ask(ctx, address, coltsfootlink.Query{Subject: coltsfootlink.ExplainTargetsSubject, Arguments: arguments})
	if err != nil {
		return explain.Answers{}
	}
	answers, err := explain.ParseTable[explain.Answers](table)
	if err != nil {
		return explain.Answers{}
	}
	return answers
}
