// Package fragment splits messages into fragments that fit a datagram, and reassembles them. If one fragment is lost, the whole message is
// lost; its sender has to send it again, or a newer one. The package tolerates duplicate, late, reordered and missing fragments, and limits
// the memory that senders of many incomplete messages can use. A Reassembler is not safe for concurrent use.
package fragment

import "slices"

// MaxFragments is the maximum number of fragments of a message. Datagrams may be reordered by that many.
const MaxFragments = 64

const (
	maxIncomplete = 8   // incomplete messages of one sender
	maxSenders    = 512 // senders that a Reassembler remembers
	maskBits      = 64  // message numbers below the highest complete one that sender.completeBelow covers
)

// Split splits a message into fragments of at most maxBytes each. It returns nil if that would take more than MaxFragments.
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
	order   []string // names of senders, in the order in which they were first seen
}

// sender is the state of one incarnation of a sender.
type sender struct {
	incarnation   uint64
	messages      []*message // incomplete messages, the oldest first
	highest       uint64     // highest number of a complete message
	completeBelow uint64     // bit i: message highest-1-i is complete
}

// message is an incomplete message.
type message struct {
	number    uint64
	fragments [][]byte // nil: missing
	missing   int      // number of missing fragments
}

// Fragment is one of Total fragments of a message, which the sender's incarnation and the number identify.
type Fragment struct {
	From                string
	Incarnation, Number uint64
	Index, Total        int
	Body                []byte
}

// Add adds a fragment. It returns the message and true if no fragment of it is missing any more. The fragment's body is copied.
func (r *Reassembler) Add(f Fragment) ([]byte, bool) {
	if f.Total > MaxFragments || f.Index < 0 || f.Index >= f.Total {
		return nil, false
	}
	s := r.sender(f.From, f.Incarnation)
	if s == nil || s.isComplete(f.Number) {
		return nil, false
	}
	m := s.message(f.Number, f.Total)
	if len(m.fragments) != f.Total || m.fragments[f.Index] != nil {
		return nil, false
	}
	m.fragments[f.Index] = append([]byte{}, f.Body...) // not nil, even if the body is empty
	if m.missing--; m.missing > 0 {
		return nil, false
	}
	s.markComplete(m)
	var all []byte
	for _, body := range m.fragments {
		all = append(all, body...)
	}
	return all, true
}

// sender returns the state of a sender's incarnation, or nil if a later one is known. A new sender replaces the longest known one if there are
// too many, and a later incarnation replaces an earlier one.
func (r *Reassembler) sender(name string, incarnation uint64) *sender {
	s := r.senders[name]
	switch {
	case s == nil:
		if r.senders == nil {
			r.senders = map[string]*sender{}
		}
		if len(r.order) == maxSenders {
			delete(r.senders, r.order[0])
			r.order = slices.Delete(r.order, 0, 1)
		}
		s = &sender{incarnation: incarnation}
		r.senders[name] = s
		r.order = append(r.order, name)
	case incarnation < s.incarnation:
		return nil
	case incarnation > s.incarnation:
		*s = sender{incarnation: incarnation}
	}
	return s
}

// message returns an incomplete message and adds it if it is new. If there are too many, it removes the oldest one, of which a fragment has
// presumably been lost.
func (s *sender) message(number uint64, total int) *message {
	for _, m := range s.messages {
		if m.number == number {
			return m
		}
	}
	if len(s.messages) == maxIncomplete {
		s.messages = slices.Delete(s.messages, 0, 1)
	}
	m := &message{number: number, fragments: make([][]byte, total), missing: total}
	s.messages = append(s.messages, m)
	return m
}

// isComplete reports whether a message has been completed before, or is too old for that to be known.
func (s *sender) isComplete(number uint64) bool {
	return number <= s.highest &&
		(s.highest-number >= maskBits || number == s.highest || s.completeBelow>>(s.highest-number-1)&1 == 1)
}

// markComplete records that a message is complete and removes it from the incomplete ones.
func (s *sender) markComplete(m *message) {
	if shift := m.number - s.highest; m.number > s.highest {
		if shift < maskBits {
			s.completeBelow = s.completeBelow<<shift | 1<<(shift-1)
		} else {
			s.completeBelow = 0
		}
		s.highest = m.number
	} else {
		s.completeBelow |= 1 << (s.highest - m.number - 1)
	}
	s.messages = slices.DeleteFunc(s.messages, func(x *message) bool { return x == m })
}
