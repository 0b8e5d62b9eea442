package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ravenpond/internal/standin"
)

const (
	raisedUseFactor = 1.2 // factor of the tasks' use under raised demand
	restartAttempts = 20
	restartPause    = 20  // ms between two attempts to restart a node
	restartTime     = 300 // ms over which the restarts of a fault's nodes are spread
	growthPause     = 60  // ms between two nodes that are added
)

// pickNodes picks random nodes for a fault, from its zone if it names one. Their number is the fault's fraction of all nodes, or all nodes of the
// zone if these are fewer.
func (p *drillRun) pickNodes(tr faultSpec, rng *rand.Rand) []*standin.Node {
	var all []*standin.Node
	p.mu.Lock()
	nodes := slices.Clone(p.nodes)
	p.mu.Unlock()
	for _, n := range nodes {
		if tr.zone == "" || n.Zone == tr.zone {
			all = append(all, n)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), int(tr.fraction*float64(len(nodes))+0.5))]
}

// withFault calls begin for each node, waits for the duration in ms, and calls end for each.
func (p *drillRun) withFault(nodes []*standin.Node, duration float64, begin, end func(n *standin.Node)) {
	p.forEach(nodes, begin)
	p.sleep(duration)
	p.forEach(nodes, end)
}

func (p *drillRun) forEach(nodes []*standin.Node, f func(n *standin.Node)) {
	p.testbed.WithLock(func(float64) {
		for _, n := range nodes {
			f(n)
		}
	})
}

// injection is a fault of the day that is being injected.
type injection struct {
	*drillRun
	faultSpec
	rng   *rand.Rand
	nodes []*standin.Node // nodes that the fault affects

	aborted bool // the fault ended early because of an error or the end of the drill
}

// injectors maps each of FaultKinds to the function that injects it and returns when the fault is over.
var injectors = map[string]func(*injection){
	"list-away":   (*injection).failList,
	"list-behind": (*injection).delayList,
	"demand":      (*injection).raiseDemand,
	"flood":       (*injection).floodTenant,
	"hang": func(in *injection) {
		in.withFault(in.nodes, in.duration, func(n *standin.Node) { n.Machine.Hung = true }, func(n *standin.Node) { n.Machine.Hung = false })
	},
	"answers-lost": func(in *injection) {
		in.withFault(in.nodes, in.duration, func(n *standin.Node) { n.Machine.AnswerLoss = in.size }, func(n *standin.Node) { n.Machine.AnswerLoss = 0 })
	},
	"job-fails": func(in *injection) {
		in.withFault(in.nodes, in.duration, func(n *standin.Node) {
			n.Machine.FailingJob, n.Machine.FailingFraction, n.Machine.FailSilently = in.job, in.size, in.mode == "silence"
		}, func(n *standin.Node) { n.Machine.FailingJob = -1 })
	},
	"reports-late": func(in *injection) {
		in.withFault(in.nodes, in.duration, func(n *standin.Node) { n.Machine.StaleReports = true }, func(n *standin.Node) { n.Machine.StaleReports = false })
	},
	"neighbours": func(in *injection) {
		in.withFault(in.nodes, in.duration, func(n *standin.Node) { n.Machine.ExternalUse = in.size }, func(n *standin.Node) { n.Machine.ExternalUse = 0 })
	},
	"pressure": func(in *injection) {
		in.withFault(in.nodes, in.duration, func(n *standin.Node) { n.Machine.UseFactor = in.size }, func(n *standin.Node) { n.Machine.UseFactor = 1 })
	},
	"programs-lost": func(in *injection) { in.forEach(in.nodes, func(n *standin.Node) { n.Machine.EvictPrograms(in.size) }) },
	"hall-lost":     (*injection).crashZone,
	"restart":       func(in *injection) { in.crash(in.nodes) },
	"drain":         (*injection).drain,
	"grow":          (*injection).grow,
	"kill":          func(in *injection) { in.injectProcessFault(in.faultSpec, true, in.rng) },
	"stand-still":   func(in *injection) { in.injectProcessFault(in.faultSpec, false, in.rng) },
	"services-stop": func(in *injection) {
		for _, c := range in.clients {
			c.Withdraw(in.fraction)
		}
	},
}

// inject injects a fault and returns when it is over.
func (p *drillRun) inject(f faultSpec, rng *rand.Rand) {
	kind := FaultKinds[f.kind]
	p.Logf("%6.1f s  %s begins", p.testbed.Now()/1000, kind)
	in := &injection{drillRun: p, faultSpec: f, rng: rng, nodes: p.pickNodes(f, rng)}
	injectors[kind](in)
	if !in.aborted {
		p.Logf("%6.1f s  %s ends", p.testbed.Now()/1000, kind)
	}
}

func (in *injection) failList() {
	in.list.Update(func(l *standin.List) { l.Unavailable = true })
	in.sleep(in.duration)
	in.list.Update(func(l *standin.List) { l.Unavailable = false })
}

// delayList delays the node list further by the fault's size, in seconds.
func (in *injection) delayList() {
	in.list.Update(func(l *standin.List) { l.ExtraDelay = in.size * 1000 })
	in.sleep(in.duration)
	in.list.Update(func(l *standin.List) { l.ExtraDelay = 0 })
}

// raiseDemand multiplies the rate of requests by the fault's size, and the tasks' use by raisedUseFactor.
func (in *injection) raiseDemand() {
	p := in.drillRun
	p.locked(func() { p.rateFactor = in.size })
	p.withFault(p.nodes, in.duration, func(n *standin.Node) { n.Machine.UseFactor = raisedUseFactor }, func(n *standin.Node) { n.Machine.UseFactor = 1 })
	p.locked(func() { p.rateFactor = 1 })
}

// floodTenant multiplies the requests of a tenant by the fault's size. Without a tenant, it takes the site's first.
func (in *injection) floodTenant() {
	p, tenant := in.drillRun, in.tenant
	if tenant == "" {
		tenant = p.Deployment.Tenants[0]
	}
	p.locked(func() { p.tenantFactors[tenant] = in.size })
	p.sleep(in.duration)
	p.locked(func() { delete(p.tenantFactors, tenant) })
}

// crashZone crashes all nodes of the fault's zone, or all nodes if it names none.
func (in *injection) crashZone() {
	all := in.faultSpec
	all.fraction = 1
	in.crash(in.pickNodes(all, in.rng))
}

// crash crashes nodes all at once. When the fault's duration has passed, it restarts them one after the other, with cold machines.
func (in *injection) crash(nodes []*standin.Node) {
	in.testbed.WithLock(func(now float64) {
		for _, n := range nodes {
			n.Crash(now)
		}
	})
	if !in.sleep(in.duration) {
		in.aborted = true
		return
	}
	for _, n := range nodes {
		err := n.Restart()
		for i := 0; i < restartAttempts && err != nil; i++ { // its port may not be free immediately
			in.sleep(restartPause)
			err = n.Restart()
		}
		if err != nil {
			in.addError(fmt.Errorf("restarting a crashed node: %w", err))
		}
		in.sleep(restartTime / float64(len(nodes)))
	}
}

// drain drains nodes one after the other over the first quarter of the fault's duration, and ends all drains at its end.
func (in *injection) drain() {
	for _, n := range in.nodes {
		in.testbed.WithLock(func(now float64) {
			if !n.Gone {
				n.Draining = true
				n.Machine.Drain(now, in.mode == "bit-by-bit", in.mode == "at-once")
			}
		})
		in.sleep(in.duration / 4 / float64(len(in.nodes)))
	}
	in.sleep(in.duration * 3 / 4)
	in.forEach(in.nodes, func(n *standin.Node) { n.Draining = false; n.Machine.Undrain() })
}

// grow adds nodes one after the other, as many as the present nodes times the fault's size.
func (in *injection) grow() {
	p := in.drillRun
	for range int(in.size * float64(len(p.nodes))) {
		group := p.Day.nodeGroups[in.rng.IntN(len(p.Day.nodeGroups))]
		p.mu.Lock()
		err := p.addNode(group, in.rng.IntN(group.cells), true)
		n := p.nodes[len(p.nodes)-1]
		p.mu.Unlock()
		if err != nil {
			p.addError(err)
			in.aborted = true
			return
		}
		p.list.Add(n)
		p.sleep(growthPause)
	}
}

// locked calls f with p.mu held.
func (p *drillRun) locked(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
}
