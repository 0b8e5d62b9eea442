// Package fragment splits messages into fragments that fit a datagram and reassembles them. A message of which a fragment is lost is lost;
// its sender sends it again, or something newer. The package tolerates duplicate, late, reordered and missing fragments, and limits what
// senders of many incomplete messages can occupy.
package fragment

// Limits.
const (
	MaxFragments  = 64  // fragments of a message; datagrams may be reordered by as many
	maxIncomplete = 8   // incomplete messages of a sender
	maxSenders    = 512 // senders
)

// Split splits a message into fragments of at most that many bytes. It returns nil if there would be more than MostParts.
func Split(body []byte, maxBytes int) (fragments [][]byte) {
	if len(body) > MaxFragments*maxBytes {
		return nil
	}
	for len(body) > maxBytes {
		fragments, body = append(fragments, body[:maxBytes]), body[maxBytes:]
	}
	return append(fragments, body)
}

// Reassembler reassembles messages. Its zero value is ready to use.
type Reassembler struct {
	senders map[string]*sender
	order   []string // senders, the one heard first in front
}

type sender struct {
	incarnation   uint64
	messages      []*message // the oldest first
	highest       uint64     // the highest number of a complete message
	completeBelow uint64     // bit set of the 64 numbers below it that are complete
}

type message struct {
	number    uint64
	fragments [][]byte
	missing   int
}

// Add adds a fragment of a message that an incarnation of its sender has numbered. It returns the message if this was the last missing
// fragment. The bytes are copied.
func (r *Reassembler) Add(from string, incarnation, number uint64, index, total int, body []byte) ([]byte, bool) {
	if total > MaxFragments || index < 0 || index >= total {
		return nil, false
	}
	s := r.sender(from, incarnation)
	if s == nil || s.isComplete(number) {
		return nil, false
	}
	var m *message
	for _, x := range s.messages {
		if x.number == number {
			m = x
		}
	}
	if m == nil {
		if len(s.messages) == maxIncomplete { // the oldest one lacks a lost fragment
			s.messages = append(s.messages[:0], s.messages[1:]...)
		}
		m = &message{number: number, fragments: make([][]byte, total), missing: total}
		s.messages = append(s.messages, m)
	}
	if len(m.fragments) != total || m.fragments[index] != nil {
		return nil, false
	}
	m.fragments[index] = append([]byte{}, body...)
	if m.missing--; m.missing > 0 {
		return nil, false
	}
	s.markComplete(m)
	var all []byte
	for _, p := range m.fragments {
		all = append(all, p...)
	}
	return all, true
}

// sender returns what is kept of a sender's incarnation, nil if it is outdated.
func (r *Reassembler) sender(from string, incarnation uint64) *sender {
	s := r.senders[from]
	switch {
	case s == nil:
		if r.senders == nil {
			r.senders = map[string]*sender{}
		}
		if len(r.order) == maxSenders {
			delete(r.senders, r.order[0])
			r.order = append(r.order[:0], r.order[1:]...)
		}
		s = &sender{incarnation: incarnation}
		r.senders[from] = s
		r.order = append(r.order, from)
	case incarnation < s.incarnation:
		return nil
	case incarnation > s.incarnation:
		*s = sender{incarnation: incarnation}
	}
	return s
}

// isComplete reports whether a message was complete before.
func (s *sender) isComplete(number uint64) bool {
	return number <= s.highest && (s.highest-number >= 64 || number == s.highest || s.completeBelow>>(s.highest-number-1)&1 == 1)
}

// markComplete records a complete message.
func (s *sender) markComplete(m *message) {
	if by := m.number - s.highest; m.number > s.highest {
		if by < 64 {
			s.completeBelow = s.completeBelow<<by | 1<<(by-1)
		} else {
			s.completeBelow = 0
		}
		s.highest = m.number
	} else {
		s.completeBelow |= 1 << (s.highest - m.number - 1)
	}
	for i, x := range s.messages {
		if x == m {
			s.messages = append(s.messages[:i], s.messages[i+1:]...)
			return
		}
	}
}
