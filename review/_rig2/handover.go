package main

import (
	"fmt"
	"strings"
	"time"
)

// schedulers is how many run in handOver.
const schedulers = 4

// handOver: one of four schedulers is killed and starts again 1.2 s later. Meanwhile a node restarts, which takes 1.4 s and cuts its tasks. The owner, which was
// told nothing, hands its tasks over to the scheduler as soon as that has passed a test.
func handOver(s setting) (int, error) {
	settings := settingsText(schedulers, 29)
	f, err := startFleet(s, settings, []int64{0, 0, 0, 0}, nil)
	if err != nil {
		return noRun, err
	}
	defer func() { f.scheduler.kill() }()
	for i := 1; i < schedulers; i++ { // these run on; their owners ask for nothing
		other, err := startScheduler(s, strings.Replace(settings, `"self-index": 0`, fmt.Sprintf(`"self-index": %d`, i), 1), "", f.journal)
		if err != nil {
			return noRun, err
		}
		defer other.kill()
	}
	if err := f.place(1, 24, "batch"); err != nil {
		return noRun, err
	}
	struck := f.nodes[0]
	for _, n := range f.nodes {
		if len(n.tasks()) > len(struck.tasks()) {
			struck = n
		}
	}
	at := map[uint64]string{}
	for _, n := range f.nodes {
		for _, task := range n.tasks() {
			at[task] = n.name
		}
	}
	address, killed := f.scheduler.address, time.Now()
	f.scheduler.kill()
	s.record.add("scheduler: killed")
	cut, ended := struck.tasks(), time.Now()
	if s.trouble {
		struck.die()
		time.AfterFunc(1400*time.Millisecond, func() {
			if err := struck.comeBack(); err != nil {
				s.record.add("node %s: %v", struck.name, err)
				return
			}
			since := time.Now()
			time.AfterFunc(time.Second, func() { f.journal.publish(struck.entry("ready", since.UnixMilli())) })
		})
	}
	time.Sleep(time.Until(killed.Add(1200 * time.Millisecond)))
	if f.scheduler, err = startScheduler(s, settings, address, f.journal); err != nil {
		return noRun, err
	}
	s.record.add("scheduler: was away for %.0f ms", time.Since(killed).Seconds()*1000)
	if f.owner, err = dial(s.record, address); err != nil {
		return noRun, err
	}
	for task, name := range at {
		if err := f.owner.ask(task, "batch", 5*time.Second, name); err != nil {
			return noRun, err
		}
	}
	if !s.trouble { // the tasks end by themselves
		time.Sleep(time.Second)
		ended = time.Now()
		for _, task := range cut {
			struck.finish(task, struck.process)
		}
	}
	if len(cut) == 0 {
		return noRun, fmt.Errorf("no task ran at the node")
	}
	late := 0
	for _, task := range cut {
		if h, ok := f.owner.await(task, 0, time.Until(ended.Add(30*time.Second))); !ok || h.at.Sub(ended) > endLimit {
			s.record.say("task %d was cut and its owner was not told in time (told at all: %t)", task, ok)
			late++
		}
	}
	s.record.say("%d tasks were cut, %d of them released late or never within 30 s; limit %.2f s", len(cut), late, endLimit.Seconds())
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
