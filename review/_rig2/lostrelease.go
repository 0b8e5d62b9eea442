package main

import (
	"time"
)

// lostRelease: one connection to each of two nodes is reset while it is idle but for a release of the node, which is on its way on it.
func lostRelease(s setting) (int, error) {
	proxies := map[*node]*proxy{}
	var proxyErr error
	f, err := startFleet(s, settingsText(1, 29), []int64{0, 0}, func(n *node) {
		p, err := startProxy(s.record, n.addr)
		if err != nil {
			proxyErr = err
			return
		}
		proxies[n], n.listed = p, p.address()
	})
	if err != nil {
		return noRun, err
	}
	if proxyErr != nil {
		f.scheduler.kill()
		return noRun, proxyErr
	}
	defer f.scheduler.kill()
	for task := uint64(1); task <= 30; task++ { // several at a time, so that there are several connections to each node
		if err := f.owner.ask(task, "batch", 5*time.Second, ""); err != nil {
			return noRun, err
		}
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range f.nodes {
		n.mu.Lock()
		n.life = 20 * time.Second
		n.mu.Unlock()
	}
	for _, n := range f.nodes {
		go n.tell(time.Second)
	}
	go f.background(1000, 250*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	ended := map[uint64]time.Time{}
	for _, n := range f.nodes {
		for _, task := range n.tasks() {
			if task < 1000 && len(f.owner.got(task)) == 1 && len(ended) < 6 {
				ended[task] = time.Now()
				if s.trouble {
					proxies[n].resetUnder(task)
				}
				n.finish(task, 0)
				time.Sleep(200 * time.Millisecond)
				break
			}
		}
	}
	late := 0
	for task, at := range ended {
		h, ok := f.owner.await(task, 1, time.Until(at.Add(30*time.Second)))
		if !ok || h.at.Sub(at) > endLimit {
			late++
		}
		if ok {
			f.record.say("task %d has ended, and its owner was told after %.1f s", task, h.at.Sub(at).Seconds())
		} else {
			f.record.say("task %d has ended, and its owner was not told within 30 s", task)
		}
	}
	f.record.say("%d tasks have ended, %d of them released late or never", len(ended), late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
