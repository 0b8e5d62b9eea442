package drill

import (
	"fmt"

	"ravenpond/internal/serve"
	"ravenpond/internal/standin"
)

func (p *player) factor(tenant string) float64 {
	if f, ok := p.flood[tenant]; ok {
		return f
	}
	return 1
}

// demand is the sum of the tenants' shares, floods included; under the lock.
func (p *player) demand() (total float64) {
	for i, share := range p.Place.Shares {
		total += share * p.factor(p.Place.Tenants[i])
	}
	return total
}

// want makes one allocation wanted, by an owner at some scheduler.
func (p *player) want(begin float64) {
	p.mu.Lock()
	x, tenant := p.rng.Float64()*p.demand(), 0
	for i, share := range p.Place.Shares {
		if tenant = i; x < share*p.factor(p.Place.Tenants[i]) {
			break
		}
		x -= share * p.factor(p.Place.Tenants[i])
	}
	p.wants++
	key := fmt.Sprintf("want-%d", p.wants)
	p.mu.Unlock()
	y, w := p.rng.Float64(), p.Day.works[0]
	for _, w = range p.Day.works {
		if y < w.part {
			break
		}
		y -= w.part
	}
	service := fmt.Sprintf("%s-%d", w.name, p.rng.IntN(max(1, int(float64(p.Day.services)*w.part)+1)))
	o := p.owners[p.rng.IntN(p.Day.schedulers)*len(p.Place.Tenants)+tenant]
	name := p.Place.Tenants[tenant]
	o.Request(&standin.Demand{
		Key: key, Tenant: name, JobType: w.name, Service: service, Job: w.job, Effect: w.effect,
		Token: serve.Token(name, key), ServiceKey: serve.Service(name, service), Cores: w.cores, Memory: w.memory,
		Timeout: w.within, LatencyObjective: w.target, GiveUpAt: begin + p.Day.lasts - p.Day.settles,
	})
}
