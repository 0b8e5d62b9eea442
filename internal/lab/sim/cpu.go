package sim

// CPUCost is what a process's code costs of a core, in ms, by what happens to it. On the virtual clock code takes no time by
// itself; a process with a core takes what happens to it one after the other, and what it sends leaves when it has come so far.
type CPUCost struct {
	Turn  float64 // of its loop
	Read  float64 // what came on a connection, read at once
	Byte  float64 // and each byte of it
	Dial  float64 // a connection that it makes
	Write float64 // what it hands to the network
	Timer float64 // any other call
}

// MeasuredCost is what the platform's scheduler was seen to cost, by processor times of quarter seconds in which it was
// given more than it could do: rounds, connections, writes and reads counted beside.
var MeasuredCost = CPUCost{Turn: 0.03, Read: 0.012, Byte: 0.00002, Dial: 0.05, Write: 0.01, Timer: 0.005}

// cpu is a process's part of a core.
type cpu struct {
	clock     *Clock
	share     float64
	cost      CPUCost
	busyUntil float64 // when what runs is done
	spent     float64 // ms of a core, of what runs, so far
	running   bool
	queue     []event // what came meanwhile
	planned   bool
}

// LimitCPU has the process's code cost time from now on: of a core it has so large a share.
func (p *Process) LimitCPU(share float64, costs CPUCost) {
	p.cpu = &cpu{clock: p.clock, share: share, cost: costs, busyUntil: p.clock.now}
}

// Backlog is how long what comes now would wait.
func (p *Process) Backlog() float64 {
	if p.cpu == nil {
		return 0
	}
	return max(0, p.cpu.busyUntil-p.clock.now)
}

// charge charges some work to what runs.
func (p *Process) charge(what func(w *CPUCost) float64) {
	if p.cpu != nil {
		p.cpu.spent += what(&p.cpu.cost)
	}
}

// submit has an event happen, after all that came before it.
func (k *cpu) submit(e event) {
	if k.clock.now < k.busyUntil || len(k.queue) > 0 {
		k.queue = append(k.queue, e)
		k.scheduleNext()
		return
	}
	k.run(e)
}

func (k *cpu) scheduleNext() {
	if k.planned || len(k.queue) == 0 {
		return
	}
	k.planned = true
	k.clock.schedule(nil, k.busyUntil, func() {
		k.planned = false
		for len(k.queue) > 0 && k.clock.now >= k.busyUntil {
			e := k.queue[0]
			k.queue = k.queue[1:]
			switch {
			case e.process.incarnation != e.incarnation || e.process.dead:
			case e.process.paused:
				e.process.deferred = append(e.process.deferred, e)
			default:
				k.run(e)
			}
		}
		k.scheduleNext()
	})
}

func (k *cpu) run(e event) {
	k.clock.steps++
	k.spent, k.running = k.cost.Timer, true
	e.run()
	k.running = false
	k.busyUntil = k.clock.now + k.spent/k.share
}

// afterWork calls f when what runs has come so far: at once where code costs no time.
func (p *Process) afterWork(f func()) {
	if k := p.cpu; k != nil && k.running {
		k.clock.schedule(nil, k.clock.now+k.spent/k.share, f)
		return
	}
	f()
}
