package duty

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/lease"
	"coltsfootlink/metrics"
)

// callResult is the result of a call to the platform.
type callResult struct {
	coltsfootlink.Local

	token uint64
	call  Call
	err   error
}

func (task *Task) updatePlanner() {
	if task.held != nil && task.Scaling {
		task.held.planner = task.held.planner.WithCatalog(task.Clock.Now(), task.catalog, task.view)
	}
}

// plan takes the planner's orders of targets.
func (task *Task) plan(now time.Time) {
	if !task.Scaling {
		return
	}
	planner, orders := task.held.planner.Orders(now)
	task.held.planner = planner
	for _, order := range orders {
		metrics.Count("scale-orders")
		task.Log.Info().Str("pool", string(order.Pool)).Str("zone", string(order.Zone)).Int("count", order.Count).Str("reason", order.Reason).
			Msg("duty: ordering targets")
		task.held.calls = task.held.calls.WithOrder(now, order.Pool, order.Zone, order.Count)
	}
}

// call makes the calls that are due, as far as the platform accepts them.
func (task *Task) call(ctx context.Context, now time.Time) {
	if len(task.lost) > 0 {
		return
	}
	for call, due := task.held.calls.Due(now); due; call, due = task.held.calls.Due(now) {
		if !task.limiter.AllowN(now, 1) {
			return
		}
		task.held.calls = task.held.calls.WithBegun(call.Subject)
		call.Attempts++
		go task.send(ctx, task.held.ctx, task.lease, call)
	}
}

// send makes a call within the lease, which it checks right before. It ends with the task or when the lease is lost.
func (task *Task) send(ctx, held context.Context, state lease.State, call Call) {
	result := callResult{token: state.Token(), call: call}
	now := task.Clock.Now()
	deadline, valid := state.CallDeadline(now)
	if limit := now.Add(callTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer context.AfterFunc(held, cancel)()
	fence := coltsfootlink.FencedCall{Holder: task.Holder, Token: state.Token()}
	switch {
	case !valid || held.Err() != nil:
		result.err = errLeaseEnded
	case call.Pool != "":
		result.err = task.Caller.Scale(ctx, fence, call.Pool, call.Zone, call.Count)
	default:
		result.err = task.Caller.ReportUsage(ctx, fence, call.Window, call.Teams)
	}
	task.Inbox.Put(coltsfootlink.Delivery{Message: result})
}

func (task *Task) handleCallResult(result callResult) {
	if task.held == nil || task.held.token != result.token {
		return
	}
	now, call := task.Clock.Now(), result.call
	var failure *coltsfootlink.DutyError
	switch answered := result.err == nil || errors.As(result.err, &failure) && failure.Answered; {
	case errors.Is(result.err, errLeaseEnded):
	case answered:
		task.held.unansweredSince, task.held.yieldUntil = time.Time{}, time.Time{}
	case task.held.unansweredSince.IsZero():
		task.held.unansweredSince = now
	}
	if result.err == nil {
		task.held.calls = task.held.calls.WithConfirmed(call.Subject)
		task.logConfirmed(now, call)
		return
	}
	if failure != nil && failure.Rejected && call.Pool == "" && call.Attempts >= maxRejections {
		// A window that is always refused would keep all later ones in the store.
		metrics.Count("usage-windows-abandoned")
		describe(task.Log.Error(), call).Err(result.err).Msg("duty: the platform refuses a usage window each time, giving it up")
		task.held.calls = task.held.calls.WithConfirmed(call.Subject)
		return
	}
	task.held.calls = task.held.calls.WithFailure(now, call.Subject, rand.Float64())
	task.logFailure(result)
}
