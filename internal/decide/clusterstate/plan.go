package clusterstate

// Share is the number of cores of the load leaving zone From that zone To takes over.
type Share struct {
	From, To string
	Cores    uint32
}

// SetPlan replaces the plan. Routes without a share take over nothing.
type SetPlan struct{ Shares []Share }

func (c SetPlan) apply(s *State, _ *Command) Refusal {
	if len(c.Shares) > maxShares {
		return LimitReached
	}
	planned := map[Route]uint32{}
	for _, share := range c.Shares {
		route := Route{share.From, share.To}
		if _, twice := planned[route]; twice || route.From == route.To || share.Cores == 0 {
			return InvalidShare
		}
		planned[route] = share.Cores
	}
	s.shares, s.planVersion = planned, s.version
	return Accepted
}
