package dispatch

import (
	"fmt"
	"testing"
	"time"

	"coltsfootlink"
)

// setLargeFleet gives a task the 140 targets of a large site and a number of instances, in three zones.
func setLargeFleet(task *Task, instances int) {
	targets := make(map[coltsfootlink.TargetName]coltsfootlink.Target)
	var members []coltsfootlink.Member
	for index := range 140 {
		zone := coltsfootlink.ZoneName([]string{"a", "b", "c"}[index%3])
		name := coltsfootlink.TargetName(fmt.Sprint("engine-of-the-site-", index))
		targets[name] = targetIn(name, zone)
	}
	for index := range instances {
		zone := coltsfootlink.ZoneName([]string{"a", "b", "c"}[index%3])
		members = append(members, member(coltsfootlink.InstanceName(fmt.Sprintf("10.1.%d.%d:8785", index/200, index%200)), zone))
	}
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithTargets(targets)}})
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: members}}})
}

// BenchmarkWant measures the cost of finding a target for one request.
func BenchmarkWant(b *testing.B) {
	shared := func() coltsfootlink.Work {
		return coltsfootlink.Work{Prompt: []coltsfootlink.CachePart{{Key: 7, Tokens: 100}, {Key: 8, Tokens: 10}}}
	}
	cases := map[string]struct {
		work      coltsfootlink.Work
		instances int
	}{
		"shared prefix":                {shared(), 40},
		"no shared prefix":             {coltsfootlink.Work{}, 40},
		"shared prefix, 300 instances": {shared(), 300},
	}
	for name, test := range cases {
		b.Run(name, func(b *testing.B) {
			task, sender, clock := newTask()
			setLargeFleet(task, test.instances)
			reply := make(chan Choice, 1)
			request := newWant(clock, reply)
			request.Work = test.work
			b.ReportAllocs()
			for b.Loop() {
				if len(test.work.Prompt) > 0 {
					request.Work.Prompt[0].Key++
				}
				task.handle(coltsfootlink.Delivery{Message: request})
				ask := sender.takeAsks()[0]
				task.handle(coltsfootlink.Delivery{From: "i", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
				choice := <-reply
				task.handle(coltsfootlink.Delivery{Message: Report{Serial: choice.Serial, Stage: coltsfootlink.Ended}})
				task.turn()
				sender.sent = nil
				clock.now = clock.now.Add(time.Millisecond)
				request.Objective, request.Deadline = clock.now.Add(time.Second), clock.now.Add(time.Minute)
			}
		})
	}
}
