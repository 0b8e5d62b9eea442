package serve

import (
	"encoding/json"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/tenancy"
)

// authenticate binds a connection to a tenant, once.
func (o *owner) authenticate(params json.RawMessage) error {
	var ask struct {
		Token string `json:"token"`
	}
	if err := fields(params, &ask); err != nil {
		return err
	}
	s := o.s
	s.desk.Lock()
	verify := s.clubs.verify
	s.desk.Unlock()
	if verify == nil {
		return errNotAllowed
	}
	tenant, ok := verify(s.w.WallClock(), ask.Token)
	o.mu.Lock()
	own := o.tenant
	o.mu.Unlock()
	if !ok || own != "" && own != tenant {
		o.refusals++
		if o.refusals == mostRefusals { // who guesses pays with a connection for each few words
			s.soon(func() { o.cut("not allowed, again and again") })
		}
		return errNotAllowed
	}
	if !s.enters(o.id, tenant) {
		s.log.Debug().Str("mode", "tenants").Str("tenant", tenant).Msg("one connection more than it may have")
		return errTooMany // it is a stranger still, and goes as one
	}
	o.mu.Lock()
	o.tenant, o.token = tenant, ask.Token[:12]
	o.mu.Unlock()
	return nil
}

// enters takes it that a connection is a tenant's; false if that has as many as it may.
func (s *Server) enters(id uint32, tenant string) bool {
	s.desk.Lock()
	t, ok := s.clubs.book.Get(tenant)
	s.desk.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && s.entry.Known(id, t.Slot)
}

// may tells whether what an owner sends is read, and keeps in which time it may ask again if it sent too much.
func (o *owner) may(bytes int) bool {
	s := o.s
	if !s.hosts() || bytes == 0 {
		return true
	}
	s.mu.Lock()
	v, back := s.entry.Sent(s.w.Now(), o.id, bytes)
	s.mu.Unlock()
	o.holdOff = back
	if v == connadmission.End {
		o.cut("sent far more than it may")
	}
	return v != connadmission.End
}

// strangersGo ends callers that show no token in time.
func (s *Server) strangersGo() {
	s.mu.Lock()
	var late []*owner
	for _, id := range s.entry.Late(s.w.Now()) {
		if o := s.owners[id]; o != nil {
			late = append(late, o)
		}
	}
	s.mu.Unlock()
	for _, o := range late {
		o.cut("showed no token")
	}
}

const mostRefusals = 8

// club finds the slot of a tenant that a connection may ask for, -1 if it is removed: what is asked for it then is declined, as
// whoever had a token must not wait for an answer that never comes.
func (o *owner) club(name string) (slot int, err error) {
	o.mu.Lock()
	own := o.tenant
	o.mu.Unlock()
	if own == "" || own != name {
		return 0, errNotAllowed
	}
	o.s.desk.Lock()
	t, ok := o.s.clubs.book.Get(name)
	o.s.desk.Unlock()
	switch {
	case !ok:
		return 0, errNotAllowed
	case t.State >= tenancy.Removing:
		return -1, nil
	}
	return t.Slot, nil
}
