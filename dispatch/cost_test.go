package dispatch

import (
	"fmt"
	"testing"
	"time"

	"coltsfootlink"
)

// grown makes a task know as many targets and instances as large sites have, over three zones.
func grown(task *Task) {
	targets := make(map[coltsfootlink.TargetName]coltsfootlink.Target)
	var members []coltsfootlink.Member
	for index := range 140 {
		zone := coltsfootlink.ZoneName([]string{"a", "b", "c"}[index%3])
		name := coltsfootlink.TargetName(fmt.Sprint("engine-of-the-site-", index))
		targets[name] = targetIn(name, zone)
		if index < 40 {
			members = append(members, member(coltsfootlink.InstanceName(fmt.Sprintf("10.1.0.%d:8785", index)), zone))
		}
	}
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithTargets(targets)}})
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: members}}})
}

// BenchmarkWant is what a request costs the task that finds its target.
func BenchmarkWant(b *testing.B) {
	cases := map[string]coltsfootlink.Work{
		"shared parts":    {Prompt: []coltsfootlink.CachePart{{Key: 7, Tokens: 100}, {Key: 8, Tokens: 10}}},
		"no shared parts": {},
	}
	for name, work := range cases {
		b.Run(name, func(b *testing.B) {
			task, kept, clock := newTask()
			grown(task)
			reply := make(chan Choice, 1)
			asked := want(clock, reply)
			asked.Work = work
			b.ReportAllocs()
			for b.Loop() {
				if len(work.Prompt) > 0 {
					asked.Work.Prompt[0].Key++
				}
				task.handle(coltsfootlink.Delivery{Message: asked})
				ask := kept.asks()[0]
				task.handle(coltsfootlink.Delivery{From: "i", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
				choice := <-reply
				task.handle(coltsfootlink.Delivery{Message: Report{Serial: choice.Serial, Stage: coltsfootlink.Ended}})
				task.turn()
				kept.sent = nil
				clock.now = clock.now.Add(time.Millisecond)
				asked.Objective, asked.Deadline = clock.now.Add(time.Second), clock.now.Add(time.Minute)
			}
		})
	}
}
