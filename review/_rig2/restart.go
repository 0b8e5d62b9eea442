package main

import (
	"fmt"
	"time"
)

// Limits of the pages, with the 50 ms that the protocol page adds.
const (
	endLimit    = 8050 * time.Millisecond
	answerLimit = 550 * time.Millisecond
)

// fleet is a scheduler with its nodes, journal service and an owner.
type fleet struct {
	setting
	journal   *journal
	nodes     []*node
	scheduler *scheduler
	owner     *client
}

func startFleet(s setting, settings string, since []int64, prepare func(n *node)) (*fleet, error) {
	f := &fleet{setting: s}
	var list []entry
	for i, at := range since {
		n, err := startNode(s.record, fmt.Sprintf("s-%d", i), []string{"east", "west"}[i%2])
		if err != nil {
			return nil, err
		}
		if prepare != nil {
			prepare(n)
		}
		f.nodes = append(f.nodes, n)
		e := n.entry("ready", at)
		if n.full {
			e.Room = [2]float64{}
		}
		list = append(list, e)
	}
	var err error
	if f.journal, err = startJournal(s.record, list...); err != nil {
		return nil, err
	}
	if f.scheduler, err = startScheduler(s, settings, "", f.journal); err != nil {
		return nil, err
	}
	time.Sleep(s.settle)
	if f.owner, err = dial(s.record, f.scheduler.address); err != nil {
		f.scheduler.kill()
	}
	return f, err
}

// place asks for tasks one after the other until a number of them stands.
func (f *fleet) place(first uint64, count int, class string) error {
	stand := 0
	for task := first; stand < count; task++ {
		if task > first+uint64(10*count) {
			return fmt.Errorf("only %d of %d tasks stand", stand, count)
		}
		if err := f.owner.ask(task, class, 5*time.Second, ""); err != nil {
			return err
		}
		if h, ok := f.owner.await(task, 0, 6*time.Second); ok && h.kind == kindAnswer {
			stand++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// background asks for tasks at a steady rate until stop is closed.
func (f *fleet) background(first uint64, every time.Duration, stop <-chan struct{}) {
	for task := first; ; task++ {
		select {
		case <-stop:
			return
		case <-time.After(every):
			_ = f.owner.ask(task, "batch", 5*time.Second, "")
		}
	}
}

// checkEnds waits until each task that was cut is released towards its owner, and judges the times.
func (f *fleet) checkEnds(cut []uint64, at time.Time) int {
	late := 0
	for _, task := range cut {
		h, ok := f.owner.await(task, 1, time.Until(at.Add(30*time.Second)))
		switch {
		case !ok:
			f.record.say("task %d was cut and its owner was not told within 30 s", task)
			late++
		case h.at.Sub(at) > endLimit:
			f.record.say("task %d was cut and its owner was told after %.1f s", task, h.at.Sub(at).Seconds())
			late++
		default:
			f.record.add("task %d was cut and its owner was told after %.1f s", task, h.at.Sub(at).Seconds())
		}
	}
	f.record.say("%d tasks were cut, %d of them released late or never; limit %.2f s", len(cut), late, endLimit.Seconds())
	if late > 0 {
		return broken
	}
	return held
}

// lateList: the machine of a node vanishes and is back, cold, after 2 s, while the list runs 8 s further behind.
func lateList(s setting) (int, error) { return restartOfNode(s, 8*time.Second, 0) }

// clockStep: the same restart with a list in time, but the wall clock of the node's machine was stepped back by an hour.
func clockStep(s setting) (int, error) { return restartOfNode(s, 0, time.Hour) }

func restartOfNode(s setting, behind, step time.Duration) (int, error) {
	if !s.trouble {
		behind, step = 0, 0 // the node restarts all the same
	}
	f, err := startFleet(s, settingsText(1, 29), []int64{0, 0, 0, 0}, nil)
	if err != nil {
		return noRun, err
	}
	defer f.scheduler.kill()
	if err := f.place(1, 24, "batch"); err != nil {
		return noRun, err
	}
	stop := make(chan struct{})
	defer close(stop)
	struck := f.nodes[0]
	for _, n := range f.nodes {
		n.mu.Lock()
		n.life = 20 * time.Second // of those that are started from now on
		n.mu.Unlock()
		if len(n.tasks()) > len(struck.tasks()) {
			struck = n
		}
	}
	go f.background(1000, 200*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	var cut []uint64
	for _, task := range struck.tasks() {
		if task < 1000 && len(f.owner.got(task)) == 1 {
			cut = append(cut, task)
		}
	}
	if len(cut) == 0 {
		return noRun, fmt.Errorf("no task runs at the node")
	}
	at := time.Now()
	if err := struck.vanish(); err != nil {
		return noRun, err
	}
	time.Sleep(2 * time.Second)
	if err := struck.comeBack(); err != nil {
		return noRun, err
	}
	since := time.Now().Add(-step).UnixMilli()
	time.AfterFunc(time.Second+behind, func() { f.journal.publish(struck.entry("ready", since)) })
	return f.checkEnds(cut, at), nil
}
