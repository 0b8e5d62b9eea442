package main

import (
	"fmt"
	"time"
)

// replaced: a node was replaced at its address by one of another zone just before the scheduler starts, while the list runs 8 s further behind. For 6 s
// a quarter of the answers to keyed requests are lost, at any node alike, with their connections.
func replaced(s setting) (int, error) {
	const (
		behind    = 8 * time.Second
		usual     = time.Second // from the start of a node until the list tells of it
		lossFrom  = 3 * time.Second
		lossUntil = 9 * time.Second
	)
	s.settle = 100 * time.Millisecond
	zoneAt, began := map[*node]string{}, time.Now()
	at := began.Add(-usual)
	f, err := startFleet(s, settingsText(1, 29), []int64{0, 0, 0}, func(n *node) {
		n.zone = "east"
		if n.name == "s-2" {
			n.zone = "west"
		}
		zoneAt[n] = n.zone
		n.delay = 150 * time.Millisecond
		n.loses = func(m message) bool {
			after := time.Since(began)
			return m.params[paramClass] == "marked" && m.task%4 == 0 && after > lossFrom && after < lossUntil
		}
		if n.name == "s-1" && s.trouble { // a node of another zone listens there since a second ago, and the list does not tell of it yet
			zoneAt[n] = "west"
			s.record.add("node s-1 has gone; node t-1, of zone west, listens at its address %s", n.addr)
		}
	})
	if err != nil {
		return noRun, err
	}
	defer f.scheduler.kill()
	if s.trouble {
		time.AfterFunc(time.Until(at.Add(usual+behind)), func() {
			gone, fresh := f.nodes[1].entry("gone", 0), f.nodes[1].entry("ready", at.UnixMilli())
			fresh.Name, fresh.Zone = "t-1", "west"
			f.journal.publish(gone, fresh)
		})
	}
	for _, n := range f.nodes {
		n.mu.Lock()
		n.life = 3 * time.Second
		n.mu.Unlock()
		go n.tell(500 * time.Millisecond)
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.background(1000, 100*time.Millisecond, stop)
	task := uint64(1)
	for ; time.Since(began) < 11*time.Second; task++ {
		if err := f.owner.ask(task, "marked", 5*time.Second, ""); err != nil {
			return noRun, err
		}
		time.Sleep(70 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	lost, outside := 0, 0
	for x := uint64(1); x < task; x++ {
		zones, where, sent := map[string]bool{}, "", 0
		for _, n := range f.nodes {
			n.mu.Lock()
			for _, got := range n.setUps {
				if got.task == x {
					zones[zoneAt[n]] = true
					sent++
					where += fmt.Sprintf(" %s (%s) at %.0f ms;", n.name, zoneAt[n], s.record.ms(got.at))
				}
			}
			n.mu.Unlock()
		}
		if sent > 1 {
			lost++
		}
		if len(zones) > 1 {
			outside++
			s.record.say("keyed task %d was started at nodes of two zones:%s", x, where)
		}
	}
	s.record.say("%d keyed tasks, %d of them sent again after a lost answer, %d of these outside the group", task-1, lost, outside)
	if outside > 0 {
		return broken, nil
	}
	return held, nil
}
