package clusterstate

// Share is the number of cores that zone To takes over of the load that leaves zone From.
type Share struct {
	From, To string
	Cores    uint32
}

// SetPlan replaces the plan. No load is taken over on routes without a share.
type SetPlan struct{ Shares []Share }

func (c SetPlan) apply(s *State, _ *Command) Refusal {
	if len(c.Shares) > maxShares {
		return LimitReached
	}
	shares := map[Route]uint32{}
	for _, share := range c.Shares {
		route := Route{share.From, share.To}
		if _, duplicate := shares[route]; duplicate || route.From == route.To || share.Cores == 0 {
			return InvalidShare
		}
		shares[route] = share.Cores
	}
	s.shares, s.planVersion = shares, s.version
	return Accepted
}
