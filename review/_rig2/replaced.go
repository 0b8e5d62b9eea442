package main

import (
	"fmt"
	"time"
)

// replaced: a node was replaced at its address by one of another zone just before the scheduler starts, while the list runs 8 s further behind.
// The nodes answer keyed work with errors, after which it may have run.
func replaced(s setting) (int, error) {
	const behind = 8 * time.Second
	zoneAt := map[*node]string{}
	var f *fleet
	var at time.Time
	f, err := startFleet(s, settingsText(1, 29), []int64{0, 0, 0}, func(n *node) {
		n.life, n.fails = 2*time.Second, "marked"
		n.zone = "east"
		if n.name == "s-2" {
			n.zone = "west"
		}
		zoneAt[n] = n.zone
		if n.name == "s-1" && s.trouble { // a node of another zone listens there since a second ago, and the list does not tell of it yet
			zoneAt[n] = "west"
			at = time.Now().Add(-time.Second)
			s.record.add("node s-1 has gone; node t-1, of zone west, listens at its address %s", n.addr)
		}
	})
	if err != nil {
		return noRun, err
	}
	defer f.scheduler.kill()
	if s.trouble {
		time.AfterFunc(time.Until(at.Add(time.Second+behind)), func() {
			gone, fresh := f.nodes[1].entry("gone", 0), f.nodes[1].entry("ready", at.UnixMilli())
			fresh.Name, fresh.Zone = "t-1", "west"
			f.journal.publish(gone, fresh)
		})
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.background(1000, 50*time.Millisecond, stop)
	task := uint64(1)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err := f.owner.ask(task, "marked", 5*time.Second, ""); err != nil {
			return noRun, err
		}
		task++
	}
	time.Sleep(6 * time.Second)
	outside := 0
	for x := uint64(1); x < task; x++ {
		zones, where := map[string]bool{}, ""
		for _, n := range f.nodes {
			n.mu.Lock()
			for _, got := range n.setUps {
				if got.task == x {
					zones[zoneAt[n]] = true
					where += fmt.Sprintf(" %s (%s) at %.0f ms;", n.name, zoneAt[n], s.record.ms(got.at))
				}
			}
			n.mu.Unlock()
		}
		if len(zones) > 1 {
			outside++
			s.record.say("keyed task %d was sent to nodes of two zones:%s", x, where)
		}
	}
	s.record.say("%d keyed tasks, %d of them sent again outside the group after an attempt that may have run", task-1, outside)
	if outside > 0 {
		return broken, nil
	}
	return held, nil
}
