// Package discovery lets instances find each other in the platform's store while they know no others: the seeds in their settings may
// all be down. An instance that takes itself for the whole fleet owns all targets, beside others that do the same.
package discovery

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
)

const (
	// aloneAfter is how long an instance is without others before it looks for them in the store. Seeds that are up answer sooner.
	aloneAfter = 500 * time.Millisecond
	// minInterval is the interval between the first attempts; it doubles with each one up to maxInterval.
	minInterval = 300 * time.Millisecond
	maxInterval = 10 * time.Second
	// announcementTTL is how long an announcement counts. The clocks of instances may differ.
	announcementTTL = 3 * maxInterval
	callTimeout     = time.Second
	tickInterval    = 100 * time.Millisecond
)

// Search says when an instance looks for others; it is immutable.
type Search struct {
	// next is when the next attempt is due; zero while the instance knows others.
	next     time.Time
	interval time.Duration
}

// WithView returns the search after a view: it begins when the instance is alone, and ends when it is not.
func (search Search) WithView(now time.Time, self coltsfootlink.InstanceName, view coltsfootlink.View) Search {
	for _, member := range view.Live() {
		if member.Name != self {
			return Search{}
		}
	}
	if search.next.IsZero() {
		return Search{next: now.Add(aloneAfter), interval: minInterval}
	}
	return search
}

// Due reports whether an attempt is due.
func (search Search) Due(now time.Time) bool {
	return !search.next.IsZero() && !now.Before(search.next)
}

// WithAttempt returns the search after an attempt.
func (search Search) WithAttempt(now time.Time) Search {
	search.next = now.Add(search.interval)
	search.interval = min(2*search.interval, maxInterval)
	return search
}

// Task announces its instance and reads the announcements of others while the instance is alone.
type Task struct {
	Self      coltsfootlink.Instance
	Directory coltsfootlink.InstanceDirectory
	Clock     coltsfootlink.Clock
	Log       zerolog.Logger
	Inbox     *mailbox.Deliveries
	// Membership receives the instances that were found, as seeds.
	Membership *mailbox.Deliveries

	search  Search
	calling bool
}

// found is the result of an attempt.
type found struct {
	coltsfootlink.Local
	instances []coltsfootlink.Instance
	err       error
}

// Run looks for other instances until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.calling = false
	task.search = Search{}.WithView(task.Clock.Now(), task.Self.Name, coltsfootlink.View{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		// Without a search there is nothing to wait for but messages.
		tick := ticker.C
		if task.search == (Search{}) {
			tick = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery.Message)
		}
		if now := task.Clock.Now(); task.search.Due(now) && !task.calling {
			task.calling, task.search = true, task.search.WithAttempt(now)
			go task.attempt(ctx, now)
		}
	}
}

func (task *Task) handle(message coltsfootlink.Message) {
	switch message := message.(type) {
	case coltsfootlink.ViewChanged:
		task.search = task.search.WithView(task.Clock.Now(), task.Self.Name, message.View)
	case found:
		task.calling = false
		task.handleFound(message)
	}
}

func (task *Task) handleFound(result found) {
	if result.err != nil {
		metrics.Count("discovery-failures")
		task.Log.Warn().Err(result.err).Msg("discovery: this instance knows no others and cannot look for them in the store; trying again")
		return
	}
	if len(result.instances) == 0 {
		return
	}
	metrics.Count("discovered-instances")
	task.Log.Info().Int("instances", len(result.instances)).Msg("discovery: no seed answers, contacting instances that are in the same place")
	task.Membership.Put(coltsfootlink.Delivery{Message: coltsfootlink.SeedsChanged{Seeds: result.instances}})
}

// attempt announces the instance and reads who else is alone.
func (task *Task) attempt(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var result found
	if result.err = task.Directory.Announce(ctx, task.Self, now); result.err == nil {
		result.instances, result.err = task.Directory.Announced(ctx, now.Add(-announcementTTL))
	}
	others := result.instances[:0]
	for _, instance := range result.instances {
		if instance.Name != task.Self.Name {
			others = append(others, instance)
		}
	}
	result.instances = others
	task.Inbox.Put(coltsfootlink.Delivery{Message: result})
}
