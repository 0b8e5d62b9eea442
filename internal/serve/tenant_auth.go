package serve

import (
	"encoding/json"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/tenancy"
)

// authenticate binds a connection to a tenant, once.
func (o *clientConn) authenticate(params json.RawMessage) error {
	var ask struct {
		Token string `json:"token"`
	}
	if err := decodeParams(params, &ask); err != nil {
		return err
	}
	s := o.server
	s.routerMu.Lock()
	verify := s.hosting.verify
	s.routerMu.Unlock()
	if verify == nil {
		return errNotAllowed
	}
	tenant, ok := verify(s.env.WallClock(), ask.Token)
	o.mu.Lock()
	own := o.tenant
	o.mu.Unlock()
	if !ok || own != "" && own != tenant {
		o.authFailures++
		if o.authFailures == maxAuthFailures { // who guesses pays with a connection for each few words
			s.async(func() { o.disconnect("not allowed, again and again") })
		}
		return errNotAllowed
	}
	if !s.admitTenantConnection(o.id, tenant) {
		s.log.Debug().Str("mode", "tenants").Str("tenant", tenant).Msg("one connection more than it may have")
		return errTooManyConnections // it is a stranger still, and goes as one
	}
	o.mu.Lock()
	o.tenant, o.tokenID = tenant, ask.Token[:12]
	o.mu.Unlock()
	return nil
}

// admitTenantConnection takes it that a connection is a tenant's; false if that has as many as it may.
func (s *Server) admitTenantConnection(id uint32, tenant string) bool {
	s.routerMu.Lock()
	t, ok := s.hosting.tenants.Get(tenant)
	s.routerMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && s.admission.Authenticate(id, t.Slot)
}

// admitBytes tells whether what an owner sends is read, and keeps in which time it may ask again if it sent too much.
func (o *clientConn) admitBytes(bytes int) bool {
	s := o.server
	if !s.hostsTenants() || bytes == 0 {
		return true
	}
	s.mu.Lock()
	v, back := s.admission.OnBytes(s.env.Now(), o.id, bytes)
	s.mu.Unlock()
	o.retryAfter = back
	if v == connadmission.Close {
		o.disconnect("sent far more than it may")
	}
	return v != connadmission.Close
}

// disconnectUnauthenticated ends callers that show no token in time.
func (s *Server) disconnectUnauthenticated() {
	s.mu.Lock()
	var late []*clientConn
	for _, id := range s.admission.AuthenticationExpired(s.env.Now()) {
		if o := s.clients[id]; o != nil {
			late = append(late, o)
		}
	}
	s.mu.Unlock()
	for _, o := range late {
		o.disconnect("showed no token")
	}
}

const maxAuthFailures = 8

// tenantSlot finds the slot of a tenant that a connection may ask for, -1 if it is removed: what is asked for it then is declined, as
// whoever had a token must not wait for an answer that never comes.
func (o *clientConn) tenantSlot(name string) (slot int, err error) {
	o.mu.Lock()
	own := o.tenant
	o.mu.Unlock()
	if own == "" || own != name {
		return 0, errNotAllowed
	}
	o.server.routerMu.Lock()
	t, ok := o.server.hosting.tenants.Get(name)
	o.server.routerMu.Unlock()
	switch {
	case !ok:
		return 0, errNotAllowed
	case t.State >= tenancy.Removing:
		return -1, nil
	}
	return t.Slot, nil
}
