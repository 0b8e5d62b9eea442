package serve

import (
	"encoding/json"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/tenancy"
)

// authenticate binds a connection to a tenant, once.
func (c *clientConn) authenticate(params json.RawMessage) error {
	var request struct {
		Token string `json:"token"`
	}
	if err := decodeParams(params, &request); err != nil {
		return err
	}
	s := c.server
	s.routerMu.Lock()
	verify := s.hosting.verify
	s.routerMu.Unlock()
	if verify == nil {
		return errNotAllowed
	}
	tenant, ok := verify(s.env.WallClock(), request.Token)
	c.mu.Lock()
	bound := c.tenant
	c.mu.Unlock()
	if !ok || bound != "" && bound != tenant {
		c.authFailures++
		if c.authFailures == maxAuthFailures { // who guesses pays with a connection for each few words
			s.async(func() { c.disconnect("not allowed, again and again") })
		}
		return errNotAllowed
	}
	if !s.admitTenantConnection(c.id, tenant) {
		s.log.Debug().Str("mode", "tenants").Str("tenant", tenant).Msg("one connection more than it may have")
		return errTooManyConnections // it is a stranger still, and goes as one
	}
	c.mu.Lock()
	c.tenant, c.tokenID = tenant, request.Token[:12]
	c.mu.Unlock()
	return nil
}

// admitTenantConnection takes it that a connection is a tenant's; false if that has as many as it may.
func (s *Server) admitTenantConnection(id uint32, tenant string) bool {
	s.routerMu.Lock()
	stored, ok := s.hosting.tenants.Get(tenant)
	s.routerMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && s.admission.Authenticate(id, stored.Slot)
}

// admitBytes tells whether what an owner sends is read, and keeps in which time it may ask again if it sent too much.
func (c *clientConn) admitBytes(bytes int) bool {
	s := c.server
	if !s.hostsTenants() || bytes == 0 {
		return true
	}
	s.mu.Lock()
	verdict, retryAfter := s.admission.OnBytes(s.env.Now(), c.id, bytes)
	s.mu.Unlock()
	c.retryAfter = retryAfter
	if verdict == connadmission.Close {
		c.disconnect("sent far more than it may")
	}
	return verdict != connadmission.Close
}

// disconnectUnauthenticated ends callers that show no token in time.
func (s *Server) disconnectUnauthenticated() {
	s.mu.Lock()
	var late []*clientConn
	for _, id := range s.admission.AuthenticationExpired(s.env.Now()) {
		if c := s.clients[id]; c != nil {
			late = append(late, c)
		}
	}
	s.mu.Unlock()
	for _, c := range late {
		c.disconnect("showed no token")
	}
}

const maxAuthFailures = 8

// tenantSlot finds the slot of a tenant that a connection may ask for, -1 if it is removed: what is asked for it then is declined, as
// whoever had a token must not wait for an answer that never comes.
func (c *clientConn) tenantSlot(name string) (slot int, err error) {
	c.mu.Lock()
	bound := c.tenant
	c.mu.Unlock()
	if bound == "" || bound != name {
		return 0, errNotAllowed
	}
	c.server.routerMu.Lock()
	stored, ok := c.server.hosting.tenants.Get(name)
	c.server.routerMu.Unlock()
	switch {
	case !ok:
		return 0, errNotAllowed
	case stored.State >= tenancy.Removing:
		return -1, nil
	}
	return stored.Slot, nil
}
