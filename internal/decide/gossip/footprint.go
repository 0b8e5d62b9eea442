package gossip

// Len is how many updates are kept.
func (s *Store) Len() int { return len(s.updates) }
