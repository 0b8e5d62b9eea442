package fragment

// Footprint is the size of the messages of which parts are still missing.
type Footprint struct {
	Senders  int // of which anything is remembered
	Messages int
	Bytes    int // of the parts that have come
}

// Footprint counts the messages of which parts are still missing.
func (r *Reassembler) Footprint() (f Footprint) {
	f.Senders = len(r.senders)
	for _, s := range r.senders {
		f.Messages += len(s.messages)
		for _, m := range s.messages {
			for _, part := range m.fragments {
				f.Bytes += len(part)
			}
		}
	}
	return f
}
