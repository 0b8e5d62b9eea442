package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ravenpond/internal/standin"
)

// pickNodes draws a part of the nodes, of one zone if that is named.
func (p *player) pickNodes(tr faultSpec, rng *rand.Rand) []*standin.Node {
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

// withFault lets machines suffer for a while.
func (p *player) withFault(nodes []*standin.Node, last float64, on, off func(n *standin.Node)) {
	p.forEach(nodes, on)
	p.sleep(last)
	p.forEach(nodes, off)
}

func (p *player) forEach(nodes []*standin.Node, f func(n *standin.Node)) {
	p.testbed.WithLock(func(float64) {
		for _, n := range nodes {
			f(n)
		}
	})
}

// inject plays one trouble from its beginning to its end.
func (p *player) inject(tr faultSpec, rng *rand.Rand) {
	kind := FaultKinds[tr.kind]
	p.Logf("%6.1f s  %s begins", p.testbed.Now()/1000, kind)
	nodes := p.pickNodes(tr, rng)
	switch kind {
	case "list-away":
		p.list.Update(func(l *standin.List) { l.Unavailable = true })
		p.sleep(tr.duration)
		p.list.Update(func(l *standin.List) { l.Unavailable = false })
	case "list-behind":
		p.list.Update(func(l *standin.List) { l.ExtraDelay = tr.size * 1000 })
		p.sleep(tr.duration)
		p.list.Update(func(l *standin.List) { l.ExtraDelay = 0 })
	case "demand":
		p.locked(func() { p.rateFactor = tr.size })
		p.withFault(p.nodes, tr.duration, func(n *standin.Node) { n.Machine.UseFactor = 1.2 },
			func(n *standin.Node) { n.Machine.UseFactor = 1 })
		p.locked(func() { p.rateFactor = 1 })
	case "flood":
		tenant := tr.tenant
		if tenant == "" {
			tenant = p.Deployment.Tenants[0]
		}
		p.locked(func() { p.tenantFactors[tenant] = tr.size })
		p.sleep(tr.duration)
		p.locked(func() { delete(p.tenantFactors, tenant) })
	case "hang":
		p.withFault(nodes, tr.duration, func(n *standin.Node) { n.Machine.Hung = true },
			func(n *standin.Node) { n.Machine.Hung = false })
	case "answers-lost":
		p.withFault(nodes, tr.duration, func(n *standin.Node) { n.Machine.AnswerLoss = tr.size },
			func(n *standin.Node) { n.Machine.AnswerLoss = 0 })
	case "job-fails":
		p.withFault(nodes, tr.duration, func(n *standin.Node) {
			n.Machine.FailingJob, n.Machine.FailingFraction, n.Machine.FailSilently = tr.job, tr.size, tr.mode == "silence"
		}, func(n *standin.Node) { n.Machine.FailingJob = -1 })
	case "reports-late":
		p.withFault(nodes, tr.duration, func(n *standin.Node) { n.Machine.StaleReports = true },
			func(n *standin.Node) { n.Machine.StaleReports = false })
	case "neighbours":
		p.withFault(nodes, tr.duration, func(n *standin.Node) { n.Machine.ForeignUse = tr.size },
			func(n *standin.Node) { n.Machine.ForeignUse = 0 })
	case "pressure":
		p.withFault(nodes, tr.duration, func(n *standin.Node) { n.Machine.UseFactor = tr.size },
			func(n *standin.Node) { n.Machine.UseFactor = 1 })
	case "programs-lost":
		p.forEach(nodes, func(n *standin.Node) { n.Machine.EvictPrograms(tr.size) })
	case "hall-lost", "restart":
		if kind == "hall-lost" {
			tr.fraction = 1
			nodes = p.pickNodes(tr, rng)
		}
		p.testbed.WithLock(func(now float64) {
			for _, n := range nodes {
				n.Crash(now)
			}
		})
		if !p.sleep(tr.duration) {
			return
		}
		for _, n := range nodes {
			err := n.Restart()
			for i := 0; i < 20 && err != nil; i++ { // its port may not be free at once
				p.sleep(20)
				err = n.Restart()
			}
			if err != nil {
				p.addError(fmt.Errorf("does not come back: %w", err))
			}
			p.sleep(300 / float64(len(nodes)))
		}
	case "drain":
		for _, n := range nodes { // in waves
			p.testbed.WithLock(func(now float64) {
				if !n.Lost {
					n.Draining = true
					n.Machine.Drain(now, tr.mode == "bit-by-bit", tr.mode == "at-once")
				}
			})
			p.sleep(tr.duration / 4 / float64(len(nodes)))
		}
		p.sleep(tr.duration * 3 / 4)
		p.forEach(nodes, func(n *standin.Node) { n.Draining = false; n.Machine.Undrain() })
	case "grow":
		for range int(tr.size * float64(len(p.nodes))) {
			f := p.Day.nodeGroups[rng.IntN(len(p.Day.nodeGroups))]
			p.mu.Lock()
			err := p.addNode(f, rng.IntN(f.cells), true)
			n := p.nodes[len(p.nodes)-1]
			p.mu.Unlock()
			if err != nil {
				p.addError(err)
				return
			}
			p.list.Add(n)
			p.sleep(60)
		}
	case "kill", "stand-still":
		p.injectProcessFault(tr, kind == "kill", rng)
	case "services-stop":
		for _, o := range p.clients {
			o.Withdraw(tr.fraction)
		}
	}
	p.Logf("%6.1f s  %s is over", p.testbed.Now()/1000, kind)
}

func (p *player) locked(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
}
