package sim

// CPUCost is the processor time of a process's operations, in ms of a core. On the virtual clock code takes no time unless the process has
// a CPU limit: then its events run one after the other, and a message leaves once the work before it is done.
type CPUCost struct {
	Turn  float64 // a turn of a loop
	Read  float64 // a read from a connection
	Byte  float64 // each byte read
	Dial  float64
	Write float64 // a write to a connection
	Timer float64 // each event
}

// MeasuredCost is the cost of a scheduler on the platform. It was derived from the processor time in intervals of 250 ms under overload and
// the numbers of turns, connections, writes and reads in them.
var MeasuredCost = CPUCost{Turn: 0.03, Read: 0.012, Byte: 0.00002, Dial: 0.05, Write: 0.01, Timer: 0.005}

// cpu is a process's share of a core.
type cpu struct {
	clock     *Clock
	share     float64
	cost      CPUCost
	busyUntil float64 // ms
	spent     float64 // ms of a core that the present event has used so far
	running   bool    // an event is running
	queue     []event // events that wait until the CPU is free
	planned   bool    // the next run of the queue is scheduled
}

// LimitCPU limits the process's code to a share of a core from now on.
func (p *Process) LimitCPU(share float64, cost CPUCost) {
	p.cpu = &cpu{clock: p.clock, share: share, cost: cost, busyUntil: p.clock.now}
}

// Backlog returns how long a new event would wait for the CPU, in ms.
func (p *Process) Backlog() float64 {
	if p.cpu == nil {
		return 0
	}
	return max(0, p.cpu.busyUntil-p.clock.now)
}

// charge adds processor time to the present event.
func (p *Process) charge(work func(cost *CPUCost) float64) {
	if p.cpu != nil {
		p.cpu.spent += work(&p.cpu.cost)
	}
}

// afterWork calls f when the present event's work so far is done, which is at once where code takes no time.
func (p *Process) afterWork(f func()) {
	if k := p.cpu; k != nil && k.running {
		k.clock.schedule(nil, k.clock.now+k.spent/k.share, f)
		return
	}
	f()
}

// submit runs an event after all events that were submitted before it.
func (k *cpu) submit(e event) {
	if k.clock.now < k.busyUntil || len(k.queue) > 0 {
		k.queue = append(k.queue, e)
		k.scheduleNext()
		return
	}
	k.run(e)
}

// scheduleNext schedules a run of the queue for when the CPU is free.
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
