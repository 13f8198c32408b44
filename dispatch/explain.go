package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/explain"
	"coltsfootlink/ownership"
	"coltsfootlink/placement"
	"coltsfootlink/share"
)

const (
	// median is the draw for which a request is explained where a real one is drawn at random.
	median = 0.5
	// maxSpillover is the number of targets by wait that a plan lists: a request gets at most three candidates by rank, and
	// four others by wait if one of these is full.
	maxSpillover = 7
)

// inquired answers an operator's query about a request. The table is empty if the arguments cannot be read.
func (task *Task) inquired(inquiry coltsfootlink.Inquiry) coltsfootlink.Table {
	request, err := explain.ParseArguments[explain.Request](inquiry.Arguments)
	if err != nil {
		task.Log.Warn().Err(err).Msg("dispatch: query to explain a request cannot be read")
		return coltsfootlink.Table{}
	}
	table, err := explain.Table(task.explain(task.Clock.Now(), request, rand.Uint64()))
	if err != nil {
		task.Log.Warn().Err(err).Msg("dispatch: explanation of a request cannot be encoded")
	}
	return table
}

// explain returns what this instance would do with a request now. Nothing is recorded, counted or sent.
func (task *Task) explain(now time.Time, request explain.Request, draw uint64) explain.Plan {
	plan := explain.Plan{Instance: task.Self.Name, Zone: task.Self.Zone, At: now, DefaultRetryAt: now.Add(defaultRetryDelay)}
	if request.Zone != "" && request.Zone != task.Self.Zone {
		plan.Elsewhere = task.addressesIn(request.Zone)
		return plan
	}
	want, plan, refusal := task.explainedWant(now, request, plan)
	if refusal == nil {
		want, plan, refusal = task.explainAdmission(now, want, plan)
	}
	if refusal != nil {
		plan.Refusal = explain.RefusalOf(refusal)
	}
	if want.Pool != "" {
		plan = task.explainTargets(now, want, request.ID != "", draw, plan)
	}
	return plan
}

// addressesIn returns the addresses of the live instances in a zone.
func (task *Task) addressesIn(zone coltsfootlink.ZoneName) []string {
	var addresses []string
	for _, member := range task.view.Live() {
		if member.Zone == zone {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}

// explainedWant returns the Want that the request would become, by the routing table. The refusal is that of a request that
// matches no rule, pool or team.
func (task *Task) explainedWant(now time.Time, request explain.Request, plan explain.Plan) (Want, explain.Plan, *coltsfootlink.Refusal) {
	table := task.catalog.Table
	if !task.catalog.TableLoaded {
		return Want{}, plan, coltsfootlink.Refuse(coltsfootlink.NotReady, "no configuration has been loaded yet")
	}
	rule, found := table.Match(request.Host, request.Path)
	if !found {
		return Want{}, plan, coltsfootlink.Refuse(coltsfootlink.UnknownRoute, "no route matches")
	}
	pool, found := explainedPool(rule, request)
	plan.Rule, plan.Pool = rule.Name, pool
	if !found {
		return Want{}, plan, coltsfootlink.Refuse(coltsfootlink.UnknownPool, "the route sends no requests to the pool")
	}
	if len(rule.Splits) > 1 && request.ID == "" {
		plan.Notes = append(plan.Notes, fmt.Sprintf("the route divides its requests among %d pools; this is one for pool %s", len(rule.Splits), pool))
	}
	want := Want{
		ID: request.ID, Pool: pool, Rule: rule.Name, Work: request.Work, Fingerprint: request.Fingerprint,
		Objective: now.Add(rule.Objective), Deadline: now.Add(rule.Timeout),
	}
	if table.KeysRequired() && !rule.Public {
		if !table.HasTeam(request.Team) {
			return want, plan, coltsfootlink.Refuse(coltsfootlink.UnknownTeam, "the route needs a team, and no API key belongs to the given one")
		}
		want.Team = request.Team
	}
	want.Rank = table.Rank(pool, rule, want.Team)
	return want, plan, nil
}

// explainedPool returns the pool of a request: the one that is drawn by its ID, the given one, or the one that gets most
// requests. It returns false if the rule sends none to the given pool.
func explainedPool(rule coltsfootlink.RoutingRule, request explain.Request) (coltsfootlink.PoolName, bool) {
	if request.Pool != "" {
		isGiven := func(split coltsfootlink.Split) bool { return split.Pool == request.Pool }
		return request.Pool, slices.ContainsFunc(rule.Splits, isGiven)
	}
	if request.ID != "" {
		return rule.Pool(request.ID.Draw("")), true
	}
	return slices.MaxFunc(rule.Splits, func(left, right coltsfootlink.Split) int { return cmp.Compare(left.Weight, right.Weight) }).Pool, true
}

// explainAdmission returns the Want with its standing and trial, and the refusal before any target is considered: what the
// gate and handleWant would decide, in their order. Limits on the numbers of requests are known to the handlers of
// requests only.
func (task *Task) explainAdmission(now time.Time, want Want, plan explain.Plan) (Want, explain.Plan, *coltsfootlink.Refusal) {
	want, refusal := task.explainQuarantine(now, want)
	if refusal != nil {
		return want, plan, refusal
	}
	want.MaxWaitFraction = task.standings.MaxWaitFraction(now, want.Pool)
	standing, admitted := task.standings.Of(now, want.Pool, want.Team, median, median)
	want.Standing = standing
	if teamShare, listed := task.standings.Share(now, want.Pool, want.Team); listed {
		plan.Notes = append(plan.Notes, fmt.Sprintf("team %s exceeds its share: %.0f%% of its requests are within the guaranteed rate, %.0f%% within the sustainable one, and %.0f%% of the rest are offered to targets; this is one in the middle",
			want.Team, percent(teamShare.Entitled), percent(teamShare.Bearable), percent(teamShare.Surplus)))
	}
	if task.pressure.Refusing() {
		plan.Notes = append(plan.Notes, fmt.Sprintf("the instance is short of CPU and admits %.0f%% of the requests", percent(task.pressure.Admitted())))
	}
	if !task.endsAt.IsZero() {
		plan.Notes = append(plan.Notes, "the instance shuts down; soon it refuses all requests whose deadlines lie after its end")
	}
	switch {
	case !admitted:
		retryAt := now.Add(share.RetryDelay(want.Objective.Sub(now)))
		return want, plan, coltsfootlink.Refuse(coltsfootlink.OverShare, "the request exceeds its team's share of the pool").WithRetryAt(retryAt)
	case !task.pressure.Admits(standing, median):
		return want, plan, coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "the instance is short of CPU").WithRetryAt(now.Add(otherInstanceDelay))
	}
	if want, refusal = task.withProbe(now, want); refusal == nil {
		refusal = task.refuseUnfinishable(want)
	}
	if refusal == nil && want.Team != "" {
		pool, tokens := task.loads.pools[want.Pool], want.Work.WeightedTokens()
		refusal = task.floodRefusal(want, pool.recent.withRequested(tokens), pool.recentTeams[want.Team].withRequested(tokens))
	}
	return want, plan, refusal
}

// percent returns a fraction in percent.
func percent(fraction float64) float64 { return fraction * 100 }

// explainQuarantine returns the Want, as a trial if its prompt is barred and a trial is due; the refusal if none is due.
func (task *Task) explainQuarantine(now time.Time, want Want) (Want, *coltsfootlink.Refusal) {
	parts := want.Work.SharedParts
	if len(parts) == 0 {
		return want, nil
	}
	if !task.barred.Synced {
		return want, coltsfootlink.Refuse(coltsfootlink.NotReady, "it is not known yet which prompts crash targets").WithRetryAt(now.Add(otherInstanceDelay))
	}
	bar, found := task.barred.Bar(want.Pool, parts)
	switch {
	case found && !bar.MayTry(now, parts):
		return want, coltsfootlink.Refuse(coltsfootlink.PromptBarred, "targets crash under prompts with the same parts").WithRetryAt(bar.TrialAt)
	case found:
		want.Trial = bar.Key()
	}
	return want, nil
}

// explainTargets adds the targets that the request would be offered to, as handleWant finds them. Without an ID, the
// request goes to the version that gets most requests.
func (task *Task) explainTargets(now time.Time, want Want, drawn bool, draw uint64, plan explain.Plan) explain.Plan {
	catalog := task.eligibleCatalog(want)
	if order, moving := task.catalog.Moves[want.Pool]; moving {
		announcement := task.moves.announcement(now, order)
		if !drawn {
			catalog = task.versionCatalog(order, announcement, announcement.Share >= median)
		}
		plan.Notes = append(plan.Notes, fmt.Sprintf("the pool moves to version %s, which gets %.0f%% of the requests", order.To, percent(announcement.Share)))
	}
	avoid := pending{want: want, tried: make(map[coltsfootlink.TargetName]bool)}
	plan.Fallback = *explain.RefusalOf(task.avoidWithheld(now, catalog, avoid))
	plan.Entitled = want.Standing == coltsfootlink.Entitled
	plan.Inquiry = explain.TargetInquiry{
		Team: want.Team, Work: want.Work, Rank: want.Rank, Standing: want.Standing, MaxWaitFraction: want.MaxWaitFraction, Trial: want.Trial,
		ObjectiveLeft: want.Objective.Sub(now), TimeoutLeft: want.Deadline.Sub(now),
	}
	if want.Trial != 0 {
		plan.Notes = append(plan.Notes, "the request would be a trial of what crashes targets, and goes to one target only")
		plan.Candidates = task.explainCandidates(now, placement.TrialTarget(catalog, want.Pool, want.Trial))
		return plan
	}
	if want.Work.Affinity() == 0 {
		plan.Notes = append(plan.Notes, "the prompt has no shared prefix, so that other requests get other candidates of the zone")
	}
	candidates, preference := task.candidates(now, catalog, want, draw, avoid.tried)
	plan.ByWait = preference.ByWait
	plan.Candidates = task.explainCandidates(now, candidates)
	plan.Skipped = task.explainSkipped(now, catalog, want, draw, candidates)
	if plan.Entitled && want.Work.Affinity() != 0 {
		plan.Spills = 1
		plan.Spillover = task.explainCandidates(now, task.targetsByWait(now, catalog, want.Pool, avoid.tried))
	}
	return plan
}

// explainSkipped returns the targets that would be candidates if all targets were in use.
func (task *Task) explainSkipped(now time.Time, catalog coltsfootlink.Catalog, want Want, draw uint64, candidates []coltsfootlink.Target) []explain.Candidate {
	inUse, zones := make(map[coltsfootlink.TargetName]coltsfootlink.Target), make(map[coltsfootlink.ZoneName]bool)
	for name, target := range catalog.Targets {
		target.Leaving = false
		inUse[name] = target
		zones[target.Zone] = true
	}
	everything := catalog.WithTargets(inUse)
	everything.ZonesOut = nil
	preference := task.placement.Preference(now, want.Pool, want.Work, want.Objective)
	request := placement.Request{Pool: want.Pool, Work: want.Work, Draw: draw, OwnZone: preference.OwnZone}
	var skipped []coltsfootlink.Target
	for _, target := range task.placement.WithLive(zones).Candidates(everything, request) {
		isTarget := func(candidate coltsfootlink.Target) bool { return candidate.Name == target.Name }
		if !slices.ContainsFunc(candidates, isTarget) {
			skipped = append(skipped, catalog.Targets[target.Name])
		}
	}
	explained := task.explainCandidates(now, skipped)
	return slices.DeleteFunc(explained, func(candidate explain.Candidate) bool { return candidate.Withheld == "" })
}

// targetsByWait returns the usable targets of a pool by their estimated waits, maxSpillover at most.
func (task *Task) targetsByWait(now time.Time, catalog coltsfootlink.Catalog, pool coltsfootlink.PoolName, avoid map[coltsfootlink.TargetName]bool) []coltsfootlink.Target {
	tried := make(map[coltsfootlink.TargetName]bool)
	for name := range avoid {
		tried[name] = true
	}
	var targets []coltsfootlink.Target
	for len(targets) < maxSpillover {
		target, found := task.waits.shortest(now, catalog, pool, tried)
		if !found {
			break
		}
		tried[target.Name] = true
		targets = append(targets, target)
	}
	return targets
}

// explainCandidates returns what is known here of targets. It does not fill the owner cache.
func (task *Task) explainCandidates(now time.Time, targets []coltsfootlink.Target) []explain.Candidate {
	var candidates []explain.Candidate
	live := liveZones(task.view)
	for _, target := range targets {
		candidate := explain.Candidate{Target: target.Name, Zone: target.Zone, Weight: task.placement.Weights(target.Pool).Of(target.Name), Wait: -1}
		if owner, found := ownership.TargetOwner(target, task.view); found {
			member, _ := task.view.Member(owner)
			candidate.Owner, candidate.OwnerAddress = owner, member.PeerAddress
			candidate.OwnerBackoff = now.Before(task.backoffUntil[owner])
		}
		if estimate, known := task.waits[target.Name]; known && !now.After(estimate.validUntil) {
			candidate.Wait = max(0, estimate.readAt.Sub(now))
		}
		reason, retryAt := task.withheld(now, target)
		switch {
		case target.Leaving:
			candidate.Withheld = string(coltsfootlink.TargetLeaving)
		case task.catalog.ZonesOut[target.Zone]:
			candidate.Withheld = explain.ZoneOut
		case reason != "":
			candidate.Withheld, candidate.RetryAt = string(reason), retryAt
		case !live[target.Zone]:
			candidate.Withheld = explain.ZoneUnreachable
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}
