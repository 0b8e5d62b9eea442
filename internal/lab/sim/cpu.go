package sim

// CPUCost is what a process's code costs, in ms of a core, by what it does. On the virtual clock code takes no time unless the process
// has a CPU limit: then its events run one after the other, and what it sends leaves once the work before it is done.
type CPUCost struct {
	Turn  float64 // a turn of a loop
	Read  float64 // a read from a connection
	Byte  float64 // each byte read
	Dial  float64
	Write float64 // a write to a connection
	Timer float64 // each event
}

// MeasuredCost is what a scheduler on the platform was measured to cost: processor time over quarters of a second under overload, against
// counts of turns, connections, writes and reads.
var MeasuredCost = CPUCost{Turn: 0.03, Read: 0.012, Byte: 0.00002, Dial: 0.05, Write: 0.01, Timer: 0.005}

// cpu is a process's share of a core.
type cpu struct {
	clock     *Clock
	share     float64
	cost      CPUCost
	busyUntil float64 // ms
	spent     float64 // ms of a core by the present event so far
	running   bool    // an event runs now
	queue     []event // that wait until the CPU is free
	planned   bool    // the next run of the queue is scheduled
}

// LimitCPU gives the process's code a share of a core from now on.
func (p *Process) LimitCPU(share float64, cost CPUCost) {
	p.cpu = &cpu{clock: p.clock, share: share, cost: cost, busyUntil: p.clock.now}
}

// Backlog is how long an event would wait for the CPU now, in ms.
func (p *Process) Backlog() float64 {
	if p.cpu == nil {
		return 0
	}
	return max(0, p.cpu.busyUntil-p.clock.now)
}

// charge adds work to the present event.
func (p *Process) charge(work func(cost *CPUCost) float64) {
	if p.cpu != nil {
		p.cpu.spent += work(&p.cpu.cost)
	}
}

// afterWork calls f when the work so far of the present event is done: at once where code costs no time.
func (p *Process) afterWork(f func()) {
	if k := p.cpu; k != nil && k.running {
		k.clock.schedule(nil, k.clock.now+k.spent/k.share, f)
		return
	}
	f()
}

// submit runs an event after all that were submitted before it.
func (k *cpu) submit(e event) {
	if k.clock.now < k.busyUntil || len(k.queue) > 0 {
		k.queue = append(k.queue, e)
		k.scheduleNext()
		return
	}
	k.run(e)
}

// scheduleNext runs the queue once the CPU is free.
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
