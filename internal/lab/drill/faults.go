package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ravenpond/internal/standin"
)

// some draws a part of the nodes, of one zone if that is named.
func (p *player) some(tr trouble, rng *rand.Rand) []*standin.Node {
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
	return all[:min(len(all), int(tr.part*float64(len(nodes))+0.5))]
}

// ail lets machines suffer for a while.
func (p *player) ail(nodes []*standin.Node, last float64, on, off func(n *standin.Node)) {
	p.each(nodes, on)
	p.sleep(last)
	p.each(nodes, off)
}

func (p *player) each(nodes []*standin.Node, f func(n *standin.Node)) {
	p.w.WithLock(func(float64) {
		for _, n := range nodes {
			f(n)
		}
	})
}

// strike plays one trouble from its beginning to its end.
func (p *player) strike(tr trouble, rng *rand.Rand) {
	kind := Troubles[tr.kind]
	p.Say("%6.1f s  %s begins", p.w.Now()/1000, kind)
	nodes := p.some(tr, rng)
	switch kind {
	case "list-away":
		p.list.Update(func(l *standin.List) { l.Unavailable = true })
		p.sleep(tr.last)
		p.list.Update(func(l *standin.List) { l.Unavailable = false })
	case "list-behind":
		p.list.Update(func(l *standin.List) { l.ExtraDelay = tr.size * 1000 })
		p.sleep(tr.last)
		p.list.Update(func(l *standin.List) { l.ExtraDelay = 0 })
	case "demand":
		p.set(func() { p.rate = tr.size })
		p.ail(p.nodes, tr.last, func(n *standin.Node) { n.Machine.UseFactor = 1.2 },
			func(n *standin.Node) { n.Machine.UseFactor = 1 })
		p.set(func() { p.rate = 1 })
	case "flood":
		tenant := tr.tenant
		if tenant == "" {
			tenant = p.Place.Tenants[0]
		}
		p.set(func() { p.flood[tenant] = tr.size })
		p.sleep(tr.last)
		p.set(func() { delete(p.flood, tenant) })
	case "hang":
		p.ail(nodes, tr.last, func(n *standin.Node) { n.Machine.Hung = true },
			func(n *standin.Node) { n.Machine.Hung = false })
	case "answers-lost":
		p.ail(nodes, tr.last, func(n *standin.Node) { n.Machine.AnswerLoss = tr.size },
			func(n *standin.Node) { n.Machine.AnswerLoss = 0 })
	case "job-fails":
		p.ail(nodes, tr.last, func(n *standin.Node) {
			n.Machine.FailingJob, n.Machine.FailingFraction, n.Machine.FailSilently = tr.job, tr.size, tr.how == "silence"
		}, func(n *standin.Node) { n.Machine.FailingJob = -1 })
	case "reports-late":
		p.ail(nodes, tr.last, func(n *standin.Node) { n.Machine.StaleReports = true },
			func(n *standin.Node) { n.Machine.StaleReports = false })
	case "neighbours":
		p.ail(nodes, tr.last, func(n *standin.Node) { n.Machine.ForeignUse = tr.size },
			func(n *standin.Node) { n.Machine.ForeignUse = 0 })
	case "pressure":
		p.ail(nodes, tr.last, func(n *standin.Node) { n.Machine.UseFactor = tr.size },
			func(n *standin.Node) { n.Machine.UseFactor = 1 })
	case "programs-lost":
		p.each(nodes, func(n *standin.Node) { n.Machine.EvictPrograms(tr.size) })
	case "hall-lost", "restart":
		if kind == "hall-lost" {
			tr.part = 1
			nodes = p.some(tr, rng)
		}
		p.w.WithLock(func(now float64) {
			for _, n := range nodes {
				n.Crash(now)
			}
		})
		if !p.sleep(tr.last) {
			return
		}
		for _, n := range nodes {
			err := n.Restart()
			for i := 0; i < 20 && err != nil; i++ { // its port may not be free at once
				p.sleep(20)
				err = n.Restart()
			}
			if err != nil {
				p.fault(fmt.Errorf("does not come back: %w", err))
			}
			p.sleep(300 / float64(len(nodes)))
		}
	case "drain":
		for _, n := range nodes { // in waves
			p.w.WithLock(func(now float64) {
				if !n.Lost {
					n.Draining = true
					n.Machine.Drain(now, tr.how == "bit-by-bit", tr.how == "at-once")
				}
			})
			p.sleep(tr.last / 4 / float64(len(nodes)))
		}
		p.sleep(tr.last * 3 / 4)
		p.each(nodes, func(n *standin.Node) { n.Draining = false; n.Machine.Undrain() })
	case "grow":
		for range int(tr.size * float64(len(p.nodes))) {
			f := p.Day.fleets[rng.IntN(len(p.Day.fleets))]
			p.mu.Lock()
			err := p.addNode(f, rng.IntN(f.cells), true)
			n := p.nodes[len(p.nodes)-1]
			p.mu.Unlock()
			if err != nil {
				p.fault(err)
				return
			}
			p.list.Add(n)
			p.sleep(60)
		}
	case "kill", "stand-still":
		p.procTrouble(tr, kind == "kill", rng)
	case "services-stop":
		for _, o := range p.owners {
			o.Withdraw(tr.part)
		}
	}
	p.Say("%6.1f s  %s is over", p.w.Now()/1000, kind)
}

func (p *player) set(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
}
