package sim

// Work is what a process's code costs of a core, in ms, by what happens to it. On the virtual clock code takes no time by
// itself; a process with a core takes what happens to it one after the other, and what it sends leaves when it has come so far.
type Work struct {
	Turn  float64 // of its loop
	Heard float64 // what came on a connection, read at once
	Byte  float64 // and each byte of it
	Dial  float64 // a connection that it makes
	Write float64 // what it hands to the network
	Timer float64 // any other call
}

// Worked is what the platform's scheduler was seen to cost, by processor times of quarter seconds in which it was
// given more than it could do: rounds, connections, writes and reads counted beside.
var Worked = Work{Turn: 0.03, Heard: 0.012, Byte: 0.00002, Dial: 0.05, Write: 0.01, Timer: 0.005}

// core is a process's part of a core.
type core struct {
	c       *Clock
	share   float64
	costs   Work
	free    float64 // when what runs is done
	spent   float64 // ms of a core, of what runs, so far
	runs    bool
	queue   []event // what came meanwhile
	planned bool
}

// Core has the process's code cost time from now on: of a core it has so large a share.
func (p *Process) Core(share float64, costs Work) {
	p.core = &core{c: p.c, share: share, costs: costs, free: p.c.now}
}

// Behind is how long what comes now would wait.
func (p *Process) Behind() float64 {
	if p.core == nil {
		return 0
	}
	return max(0, p.core.free-p.c.now)
}

// costs charges some work to what runs.
func (p *Process) costs(what func(w *Work) float64) {
	if p.core != nil {
		p.core.spent += what(&p.core.costs)
	}
}

// take has an event happen, after all that came before it.
func (k *core) take(e event) {
	if k.c.now < k.free || len(k.queue) > 0 {
		k.queue = append(k.queue, e)
		k.plan()
		return
	}
	k.run(e)
}

func (k *core) plan() {
	if k.planned || len(k.queue) == 0 {
		return
	}
	k.planned = true
	k.c.at(nil, k.free, func() {
		k.planned = false
		for len(k.queue) > 0 && k.c.now >= k.free {
			e := k.queue[0]
			k.queue = k.queue[1:]
			switch {
			case e.p.life != e.life || e.p.dead:
			case e.p.paused:
				e.p.late = append(e.p.late, e)
			default:
				k.run(e)
			}
		}
		k.plan()
	})
}

func (k *core) run(e event) {
	k.c.steps++
	k.spent, k.runs = k.costs.Timer, true
	e.run()
	k.runs = false
	k.free = k.c.now + k.spent/k.share
}

// done calls f when what runs has come so far: at once where code costs no time.
func (p *Process) done(f func()) {
	if k := p.core; k != nil && k.runs {
		k.c.at(nil, k.c.now+k.spent/k.share, f)
		return
	}
	f()
}
