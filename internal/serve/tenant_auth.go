package serve

import (
	"encoding/json"

	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/tenancy"
)

// maxAuthFailures is how many tokens a connection may show that are not valid: guessing costs a connection for each few of them.
const maxAuthFailures = 8

// Codes of errors of the client protocol.
const (
	codeNotAllowed         = jrpc2.Code(-32001)
	codeTooManyConnections = jrpc2.Code(-32002)
)

var (
	// errNotAllowed says no more, as whoever receives it has shown no valid token.
	errNotAllowed         = jrpc2.Errorf(codeNotAllowed, "not allowed")
	errTooManyConnections = jrpc2.Errorf(codeTooManyConnections, "as many connections as may be")
)

// onAuthenticate takes the call authenticate, which binds the connection to a tenant, once.
func (c *clientConn) onAuthenticate(params json.RawMessage) error {
	var p struct {
		Token string `json:"token"`
	}
	if err := decodeParams(params, &p); err != nil {
		return err
	}
	l := c.listener
	verify := l.tenants.verifier()
	if verify == nil {
		return errNotAllowed
	}
	tenant, ok := verify(l.env.WallClock(), p.Token)
	bound := c.boundTenant()
	if !ok || bound != "" && bound != tenant {
		return c.onAuthFailure()
	}
	stored, ok := l.tenants.tenant(tenant)
	if !ok || !l.bindTenant(c.id, stored.Slot) {
		l.log.Debug().Str("mode", "tenants").Str("tenant", tenant).Msg("one connection more than it may have")
		return errTooManyConnections // it stays unauthenticated, and is closed as such
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenant, c.tokenID = tenant, p.Token[:tokenIDBytes]
	return nil
}

// tokenIDBytes is how many bytes of a token are its id.
const tokenIDBytes = 12

// onAuthFailure counts an invalid token, and disconnects the client after too many.
func (c *clientConn) onAuthFailure() error {
	c.authFailures++
	if c.authFailures == maxAuthFailures {
		c.listener.async(func() { c.disconnect("not allowed, again and again") })
	}
	return errNotAllowed
}

// boundTenant returns the tenant that the connection has authenticated as, empty if none.
func (c *clientConn) boundTenant() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenant
}

// authenticatedBy returns the id of the token that the connection has authenticated with, empty if none.
func (c *clientConn) authenticatedBy() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokenID
}

// tenantSlot returns the slot of a tenant that the connection may request for, -1 if the tenant is removed: such requests are shed, as
// whoever had a valid token must not wait for an answer that never comes.
func (c *clientConn) tenantSlot(name string) (slot int, err error) {
	if bound := c.boundTenant(); bound == "" || bound != name {
		return 0, errNotAllowed
	}
	stored, ok := c.listener.tenants.tenant(name)
	switch {
	case !ok:
		return 0, errNotAllowed
	case stored.State >= tenancy.Removing:
		return -1, nil
	}
	return stored.Slot, nil
}
