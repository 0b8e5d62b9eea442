package main

import "time"

// lostStop: nodes forget their idle connections. The owner then stops two of six services, which are run-once tasks, and asks for all of them again.
func lostStop(s setting) (int, error) {
	const count = 20
	f, err := startFleet(s, settingsText(1, 29), []int64{0, 0, 0}, nil)
	if err != nil {
		return noRun, err
	}
	defer f.scheduler.kill()
	if err := f.place(1, count, "single"); err != nil {
		return noRun, err
	}
	var stand []uint64
	for _, n := range f.nodes {
		for _, task := range n.tasks() {
			if service := task / perService; service == 1 || service == 2 {
				stand = append(stand, task)
			}
		}
	}
	time.Sleep(time.Second)
	if s.trouble {
		for _, n := range f.nodes {
			n.forget()
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, task := range stand {
		f.record.add("client: releases task %d", task)
		_, _ = f.owner.c.Write(encode(kindEnd, task, cause(causeStopped)))
	}
	time.Sleep(2 * time.Second)
	for _, task := range stand {
		if err := f.owner.ask(namePart+task, "single", 10*time.Second, ""); err != nil {
			return noRun, err
		}
	}
	time.Sleep(20 * time.Second)
	runs := map[uint64]int{} // by name
	for _, n := range f.nodes {
		for _, task := range n.tasks() {
			runs[task%namePart]++
			s.record.add("20 s after it was asked for again, the task named %d runs at %s under number %d", task%namePart, n.name, task)
		}
	}
	twice := 0
	for name, count := range runs {
		if count > 1 {
			twice++
			s.record.say("the run-once task named %d runs %d times at once, 22 s after its owner has stopped it and 20 s after it was asked for again", name, count)
		}
	}
	s.record.say("%d run-once tasks were stopped and asked for again; %d of them run twice at once", len(stand), twice)
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
