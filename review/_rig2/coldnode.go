package main

import (
	"math"
	"time"
)

// coldNode: a node joins, its wall clock is stepped back by an hour, and it restarts: the list tells of a start that is earlier than the last one.
func coldNode(s setting) (int, error) {
	const bears, rate = 12, 80
	began := time.Now().Add(-20 * time.Second).UnixMilli()
	f, err := startFleet(s, settingsText(1, bears), []int64{0, began}, func(n *node) { n.life = 600 * time.Millisecond })
	if err != nil {
		return noRun, err
	}
	defer f.scheduler.kill()
	stop := make(chan struct{})
	defer close(stop)
	go f.background(1, time.Second/rate, stop)
	time.Sleep(15 * time.Second)
	struck := f.nodes[1]
	struck.die()
	time.Sleep(2 * time.Second)
	if err := struck.comeBack(); err != nil {
		return noRun, err
	}
	back := time.Now()
	since := back
	if s.trouble {
		since = since.Add(-time.Hour)
	}
	time.Sleep(500 * time.Millisecond)
	f.journal.publish(struck.entry("ready", since.UnixMilli()))
	told := time.Now()
	time.Sleep(14 * time.Second)
	struck.mu.Lock()
	defer struck.mu.Unlock()
	over := false
	for i, first := range struck.setUps {
		if first.at.Before(told.Add(100*time.Millisecond)) || first.at.After(told.Add(time.Second)) {
			continue
		}
		count := 0.0
		for _, x := range struck.setUps[i:] {
			if x.at.Sub(first.at) < 2*time.Second {
				count++
			}
		}
		age := first.at.Add(2*time.Second).Sub(back).Seconds() / 16 // at the end of the time; it is warm within 16 s
		n := bears * (0.17 + 0.83*age) / 0.17                       // cold-bears, or more where its pace has grown evenly meanwhile
		limit := n + 3*math.Sqrt(n) + 3
		if count > limit && !over {
			s.record.say("the cold node got %.0f set-ups within the 2 s from %.2f s after its start, %.2f s after the list told of it; it falls at more than %.1f",
				count, first.at.Sub(back).Seconds(), first.at.Sub(told).Seconds(), limit)
			over = true
		}
	}
	s.record.say("set-ups at the node after its start: %d", len(struck.setUps))
	if over {
		return broken, nil
	}
	return held, nil
}
