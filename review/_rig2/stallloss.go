package main

import (
	"syscall"
	"time"
)

// stallLoss: a room of three nodes of nine is lost for 15 s, while the scheduler stands still for 1.9 s every 3 s.
func stallLoss(s setting) (int, error) {
	f, err := startFleet(s, settingsText(1, 29), make([]int64, 9), nil)
	if err != nil {
		return noRun, err
	}
	defer f.scheduler.kill()
	if err := f.place(1, 60, "batch"); err != nil {
		return noRun, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range f.nodes {
		n.mu.Lock()
		n.life = 20 * time.Second
		n.mu.Unlock()
	}
	go f.background(1000, 200*time.Millisecond, stop)
	go func() {
		for s.trouble {
			f.scheduler.signal(syscall.SIGSTOP)
			time.Sleep(1900 * time.Millisecond)
			f.scheduler.signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(1100 * time.Millisecond):
			}
		}
	}()
	time.Sleep(5 * time.Second)
	var cut []uint64
	at := time.Now()
	for _, n := range f.nodes[:3] {
		for _, task := range n.tasks() {
			if task < 1000 && len(f.owner.got(task)) == 1 {
				cut = append(cut, task)
			}
		}
		if err := n.vanish(); err != nil {
			return noRun, err
		}
	}
	time.AfterFunc(15*time.Second, func() {
		for _, n := range f.nodes[:3] {
			_ = n.comeBack()
			f.journal.publish(n.entry("ready", time.Now().UnixMilli()))
		}
	})
	return f.checkEnds(cut, at), nil
}
