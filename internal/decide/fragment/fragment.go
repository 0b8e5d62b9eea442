// Package fragment splits messages into fragments that fit a datagram and reassembles them. A message of which a fragment is lost is lost;
// its sender sends it again, or something newer. The package tolerates duplicate, late, reordered and missing fragments, and limits what
// senders of many incomplete messages can occupy.
package fragment

// Limits.
const (
	MostParts = 64  // fragments of a message; datagrams may be reordered by as many
	atOnce    = 8   // incomplete messages of a sender
	mostFrom  = 512 // senders
)

// Split splits a message into fragments of at most that many bytes. It returns nil if there would be more than MostParts.
func Split(body []byte, most int) (parts [][]byte) {
	if len(body) > MostParts*most {
		return nil
	}
	for len(body) > most {
		parts, body = append(parts, body[:most]), body[most:]
	}
	return append(parts, body)
}

// Reassembler reassembles messages. Its zero value is ready to use.
type Reassembler struct {
	from  map[string]*sender
	order []string // senders, the one heard first in front
}

type sender struct {
	life     uint64
	messages []*message // the oldest first
	done     uint64     // the highest number of a complete message
	below    uint64     // bit set of the 64 numbers below it that are complete
}

type message struct {
	number uint64
	parts  [][]byte
	left   int
}

// Add adds a fragment of a message that an incarnation of its sender has numbered. It returns the message if this was the last missing
// fragment. The bytes are copied.
func (r *Reassembler) Add(from string, life, number uint64, index, of int, body []byte) ([]byte, bool) {
	if of > MostParts || index < 0 || index >= of {
		return nil, false
	}
	s := r.sender(from, life)
	if s == nil || s.was(number) {
		return nil, false
	}
	var m *message
	for _, x := range s.messages {
		if x.number == number {
			m = x
		}
	}
	if m == nil {
		if len(s.messages) == atOnce { // the oldest one lacks a lost fragment
			s.messages = append(s.messages[:0], s.messages[1:]...)
		}
		m = &message{number: number, parts: make([][]byte, of), left: of}
		s.messages = append(s.messages, m)
	}
	if len(m.parts) != of || m.parts[index] != nil {
		return nil, false
	}
	m.parts[index] = append([]byte{}, body...)
	if m.left--; m.left > 0 {
		return nil, false
	}
	s.end(m)
	var all []byte
	for _, p := range m.parts {
		all = append(all, p...)
	}
	return all, true
}

// sender returns what is kept of a sender's incarnation, nil if it is outdated.
func (r *Reassembler) sender(from string, life uint64) *sender {
	s := r.from[from]
	switch {
	case s == nil:
		if r.from == nil {
			r.from = map[string]*sender{}
		}
		if len(r.order) == mostFrom {
			delete(r.from, r.order[0])
			r.order = append(r.order[:0], r.order[1:]...)
		}
		s = &sender{life: life}
		r.from[from] = s
		r.order = append(r.order, from)
	case life < s.life:
		return nil
	case life > s.life:
		*s = sender{life: life}
	}
	return s
}

// was reports whether a message was complete before.
func (s *sender) was(number uint64) bool {
	return number <= s.done && (s.done-number >= 64 || number == s.done || s.below>>(s.done-number-1)&1 == 1)
}

// end records a complete message.
func (s *sender) end(m *message) {
	if by := m.number - s.done; m.number > s.done {
		if by < 64 {
			s.below = s.below<<by | 1<<(by-1)
		} else {
			s.below = 0
		}
		s.done = m.number
	} else {
		s.below |= 1 << (s.done - m.number - 1)
	}
	for i, x := range s.messages {
		if x == m {
			s.messages = append(s.messages[:i], s.messages[i+1:]...)
			return
		}
	}
}
