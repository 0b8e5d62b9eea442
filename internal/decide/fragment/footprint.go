package fragment

// Footprint is the size of what a Reassembler holds.
type Footprint struct {
	Senders  int // senders that the Reassembler remembers
	Messages int // incomplete messages
	Bytes    int // size of their fragments that have arrived
}

// Footprint returns the number of remembered senders and the number and size of incomplete messages.
func (r *Reassembler) Footprint() (f Footprint) {
	f.Senders = len(r.senders)
	for _, s := range r.senders {
		f.Messages += len(s.messages)
		for _, m := range s.messages {
			for _, fragment := range m.fragments {
				f.Bytes += len(fragment)
			}
		}
	}
	return f
}
