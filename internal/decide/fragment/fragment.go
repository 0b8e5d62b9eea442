// Package fragment cuts messages into parts that fit a datagram and puts them together again. A message of which a part is
// lost is lost: who sent it says it again, or something newer. It guards against parts that come twice, late, out of order or
// never, and against senders that begin many messages and end none.
package fragment

// Bounds of messages.
const (
	MostParts = 64 // of a message: so many datagrams may overtake each other
	atOnce    = 8  // messages of a sender that are not whole yet
	mostFrom  = 512
)

// Cut cuts a message into parts of so many bytes at most; none if it is too long.
func Cut(body []byte, most int) (parts [][]byte) {
	if len(body) > MostParts*most {
		return nil
	}
	for len(body) > most {
		parts, body = append(parts, body[:most]), body[most:]
	}
	return append(parts, body)
}

// Whole puts messages together. Its zero value holds nothing.
type Whole struct {
	from  map[string]*sender
	order []string // in which senders were first heard
}

type sender struct {
	life     uint64
	messages []*message // the oldest first
	done     uint64     // the highest number that was whole, and which of the 64 below it
	below    uint64
}

type message struct {
	number uint64
	parts  [][]byte
	left   int
}

// Take takes a part of a message, which a life of its sender numbers; the whole message when it is the last that was
// missing. Its bytes are copied.
func (w *Whole) Take(from string, life, number uint64, index, of int, body []byte) ([]byte, bool) {
	if of > MostParts || index < 0 || index >= of {
		return nil, false
	}
	s := w.sender(from, life)
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
		if len(s.messages) == atOnce { // the oldest lacks a part that is lost
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

func (w *Whole) sender(from string, life uint64) *sender {
	s := w.from[from]
	switch {
	case s == nil:
		if w.from == nil {
			w.from = map[string]*sender{}
		}
		if len(w.order) == mostFrom {
			delete(w.from, w.order[0])
			w.order = append(w.order[:0], w.order[1:]...)
		}
		s = &sender{life: life}
		w.from[from] = s
		w.order = append(w.order, from)
	case life < s.life:
		return nil
	case life > s.life:
		*s = sender{life: life}
	}
	return s
}

func (s *sender) was(number uint64) bool {
	return number <= s.done && (s.done-number >= 64 || number == s.done || s.below>>(s.done-number-1)&1 == 1)
}

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
