package serve

import (
	"encoding/json"

	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/tenancy"
)

// maxAuthFailures is the number of invalid tokens after which a connection is closed, so that guessing tokens needs many connections.
const maxAuthFailures = 8

// Error codes of the client protocol.
const (
	codeNotAllowed         = jrpc2.Code(-32001)
	codeTooManyConnections = jrpc2.Code(-32002)
)

var (
	// errNotAllowed gives no details, because its receiver has shown no valid token.
	errNotAllowed         = jrpc2.Errorf(codeNotAllowed, "not allowed")
	errTooManyConnections = jrpc2.Errorf(codeTooManyConnections, "as many connections as may be")
)

// onAuthenticate handles the call authenticate, which binds the connection to a tenant. A connection can't be bound to another tenant later.
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
		l.log.Debug().Str("mode", "tenants").Str("tenant", tenant).Msg("connection limit of tenant reached")
		return errTooManyConnections // the connection stays unauthenticated, and is closed like other unauthenticated ones
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenant, c.tokenID = tenant, p.Token[:tokenIDBytes]
	return nil
}

// tokenIDBytes is the length of the id at the beginning of a token.
const tokenIDBytes = 12

// onAuthFailure counts an invalid token, and disconnects the client after maxAuthFailures of them.
func (c *clientConn) onAuthFailure() error {
	c.authFailures++
	if c.authFailures == maxAuthFailures {
		c.listener.async(func() { c.disconnect("too many invalid tokens") })
	}
	return errNotAllowed
}

// boundTenant returns the tenant as which the connection has authenticated, empty if none.
func (c *clientConn) boundTenant() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenant
}

// authenticatedBy returns the id of the token with which the connection has authenticated, empty if none.
func (c *clientConn) authenticatedBy() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokenID
}

// tenantSlot returns the slot of a tenant for which the connection may send requests, or -1 if the tenant is removed or being removed. Requests
// for slot -1 are shed, because a client that had a valid token must not wait for an answer that never comes.
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
