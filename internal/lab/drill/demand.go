package drill

import (
	"fmt"

	"ravenpond/internal/serve"
	"ravenpond/internal/standin"
)

// demandFactor returns the factor by which a tenant's demand is raised by faults, 1 if by none.
func (p *drillRun) demandFactor(tenant string) float64 {
	if f, ok := p.tenantFactors[tenant]; ok {
		return f
	}
	return 1
}

// totalDemand returns the sum of the tenants' shares times their demand factors. The caller holds p.mu.
func (p *drillRun) totalDemand() (total float64) {
	for i, share := range p.Deployment.Shares {
		total += share * p.demandFactor(p.Deployment.Tenants[i])
	}
	return total
}

// requestTask has a client of a random tenant and scheduler request one task. begin is when the day began, in ms of the testbed's clock.
func (p *drillRun) requestTask(begin float64) {
	p.mu.Lock()
	x, tenant := p.rng.Float64()*p.totalDemand(), 0
	for i, share := range p.Deployment.Shares {
		if tenant = i; x < share*p.demandFactor(p.Deployment.Tenants[i]) {
			break
		}
		x -= share * p.demandFactor(p.Deployment.Tenants[i])
	}
	p.lastDemand++
	key := fmt.Sprintf("want-%d", p.lastDemand)
	p.mu.Unlock()
	y, w := p.rng.Float64(), p.Day.jobs[0]
	for _, w = range p.Day.jobs {
		if y < w.fraction {
			break
		}
		y -= w.fraction
	}
	service := fmt.Sprintf("%s-%d", w.name, p.rng.IntN(max(1, int(float64(p.Day.services)*w.fraction)+1)))
	o := p.clients[p.rng.IntN(p.Day.schedulers)*len(p.Deployment.Tenants)+tenant]
	name := p.Deployment.Tenants[tenant]
	o.Request(&standin.Demand{
		Key: key, Tenant: name, JobType: w.name, Service: service, Job: w.job, Semantics: w.semantics,
		Token: serve.Token(name, key), ServiceKey: serve.Service(name, service), Cores: w.cores, Memory: w.memory,
		Timeout: w.timeout, LatencyObjective: w.latencyObjective, GiveUpAt: begin + p.Day.duration - p.Day.settleTime,
	})
}
