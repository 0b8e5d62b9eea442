package serve

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
)

const (
	maxNameBytes = 200    // longest idempotency key or name of a service
	maxDeadline  = 3600e3 // longest time from a request's arrival to its deadline, ms
)

// onMessage handles one message: a call, or a batch of calls.
func (c *clientConn) onMessage(body []byte) error {
	requests, err := jrpc2.ParseRequests(body)
	if err != nil {
		c.send(encodeReply("null", jrpc2.Errorf(jrpc2.ParseError, "%v", err)))
		return nil
	}
	var batch []json.RawMessage
	for _, request := range requests {
		fault := error(request.Error)
		if request.Error == nil {
			fault = c.dispatch(request.Method, request.Params)
		}
		switch {
		case request.ID == "" && request.Error == nil: // a JSON-RPC notification gets no reply
		case request.Batch:
			batch = append(batch, encodeReply(request.ID, fault))
		default:
			c.send(encodeReply(request.ID, fault))
		}
	}
	if len(batch) > 0 {
		all, err := json.Marshal(batch)
		if err != nil {
			return err
		}
		c.send(all)
	}
	return nil
}

// encodeReply returns the reply to a call: the result true, or the error.
func encodeReply(id string, fault error) []byte {
	if id == "" {
		id = "null"
	}
	b := append(append([]byte(`{"jsonrpc":"2.0","id":`), id...), ',')
	if fault == nil {
		return append(b, `"result":true}`...)
	}
	var e *jrpc2.Error
	if !errors.As(fault, &e) {
		e = &jrpc2.Error{Code: jrpc2.InternalError, Message: fault.Error()}
	}
	text, err := json.Marshal(e)
	if err != nil {
		text = []byte(`{"code":-32603}`)
	}
	return append(append(append(b, `"error":`...), text...), '}')
}

// dispatch executes a call.
func (c *clientConn) dispatch(method string, params json.RawMessage) error {
	switch method {
	case "allocate":
		return c.onAllocate(params)
	case "withdraw":
		return c.onWithdraw(params)
	case "authenticate":
		if c.listener.hostsTenants() {
			return c.onAuthenticate(params)
		}
	}
	return jrpc2.Errorf(jrpc2.MethodNotFound, "no method %.40q", method)
}

// decodeParams decodes the parameters of a call. Unknown fields are errors.
func decodeParams(params json.RawMessage, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(params))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return jrpc2.Errorf(jrpc2.InvalidParams, "%v", err)
	}
	return nil
}

// Reasons of answers to requests that are shed before they reach a shard.
const (
	reasonTenantRemoved engine.AnswerReason = "tenant-removed"
	reasonTooManyBytes  engine.AnswerReason = "too-many-bytes" // the tenant has sent more bytes than its limit allows
)

// allocateParams are the parameters of the call allocate. Times are in ms.
type allocateParams struct {
	RequestID uint64  `json:"ref"`
	Tenant    string  `json:"tenant"`
	Key       string  `json:"key"`
	JobClass  string  `json:"job-type"`
	Service   string  `json:"service"`
	Cores     float64 `json:"cores"`
	Memory    float64 `json:"memory"`
	Within    float64 `json:"within-ms"`  // time until the deadline; 0: the job class's default
	SentAt    float64 `json:"sent-at-ms"` // by the client's wall clock; 0: unknown
}

// fault describes what is wrong with the parameters; it is empty if nothing is. maxWithin limits Within; 0: only maxDeadline does.
func (p *allocateParams) fault(tenantKnown, jobClassKnown bool, maxWithin float64) string {
	switch {
	case p.RequestID == 0:
		return "ref: a number above 0 is expected"
	case !tenantKnown:
		return fmt.Sprintf("tenant %q is not known", p.Tenant)
	case !jobClassKnown:
		return fmt.Sprintf("job-type %q is not known", p.JobClass)
	case p.Key == "" || len(p.Key) > maxNameBytes:
		return fmt.Sprintf("key: 1 to %d bytes are expected", maxNameBytes)
	case p.Service == "" || len(p.Service) > maxNameBytes:
		return fmt.Sprintf("service: 1 to %d bytes are expected", maxNameBytes)
	case !(p.Cores > 0) || !(p.Memory > 0) || math.IsInf(p.Cores+p.Memory, 0): // !(x > 0) also catches NaN
		return "cores and memory: numbers above 0 are expected"
	case p.Within < 0 || p.Within > maxDeadline:
		return "within-ms: 0 to 3600000 is expected"
	case maxWithin > 0 && p.Within > maxWithin:
		return fmt.Sprintf("within-ms: 0 to %.0f is expected, as limits are lent", maxWithin)
	}
	return ""
}

// allocateRequest is a client's request for an allocation.
type allocateRequest struct {
	id      shardownership.ID
	request shardownership.Request
	unread  float64 // how long it lay unread beyond the client's usual delay, ms
}

// onAllocate handles the call allocate.
func (c *clientConn) onAllocate(params json.RawMessage) error {
	var p allocateParams
	if err := decodeParams(params, &p); err != nil {
		return err
	}
	siteConfig := c.listener.config.Site
	tenant, removed, err := c.tenantOf(p.Tenant)
	if err != nil {
		return err
	}
	jobClass := slices.Index(siteConfig.JobClasses, p.JobClass)
	if fault := p.fault(tenant >= 0 || removed, jobClass >= 0, c.listener.tenants.maxDeadline()); fault != "" {
		return jrpc2.Errorf(jrpc2.InvalidParams, "%s", fault)
	}
	if p.Within == 0 {
		p.Within = siteConfig.Deadlines[jobClass]
	}
	unread := 0.0
	if p.SentAt > 0 {
		unread = c.unreadFor(p.SentAt)
		p.Within -= unread
	}
	deadline := c.listener.env.Now() + p.Within
	if !c.openRequest(p.RequestID, deadline) {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: %d is not over", p.RequestID)
	}
	switch {
	case removed:
		c.sendAnswer(p.RequestID, shed(reasonTenantRemoved))
		return nil
	case c.retryAfter > 0:
		tooMany := shed(reasonTooManyBytes)
		tooMany.RetryAfter = c.retryAfter
		c.sendAnswer(p.RequestID, tooMany)
		return nil
	}
	c.listener.handler.allocate(c, allocateRequest{
		id: shardownership.ID{Tenant: tenant, Token: Token(p.Tenant, p.Key)},
		request: shardownership.Request{
			Client: c.id, Ref: p.RequestID, JobClass: jobClass, Service: Service(p.Tenant, p.Service), Cores: p.Cores, Memory: p.Memory,
			Deadline: deadline,
		},
		unread: unread,
	})
	return nil
}

// tenantOf returns the slot of a tenant for which the client may make requests. The slot is negative if the tenant is not known or was removed.
func (c *clientConn) tenantOf(name string) (slot int, removed bool, err error) {
	if !c.listener.hostsTenants() {
		return slices.Index(c.listener.config.Site.Tenants, name), false, nil
	}
	slot, err = c.tenantSlot(name)
	return slot, slot < 0, err
}

// unreadFor returns how long, in ms, a request lay unread, for example while the process stalled. The time left to the request is shorter by
// that. The client's clock need not agree with this process's.
func (c *clientConn) unreadFor(sentAt float64) float64 {
	l := c.listener
	stall := l.stalls.recent(l.env.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sendLag.OnRequest(l.env.Now(), sentAt, float64(l.env.WallClock().UnixMilli()), stall)
}

// onWithdraw handles the call withdraw.
func (c *clientConn) onWithdraw(params json.RawMessage) error {
	var p struct {
		RequestID uint64 `json:"ref"`
	}
	if err := decodeParams(params, &p); err != nil {
		return err
	}
	return c.listener.handler.withdraw(c, p.RequestID)
}

// Hash returns the 64-bit hash of a name. Services and idempotency keys are distinguished only by this hash.
func Hash(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // a Digest returns no write errors
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// Token returns the hash of a tenant's idempotency key, by which repeated requests are recognised.
func Token(tenant, key string) uint64 { return Hash("key", tenant, key) }

// Service returns the hash of a tenant's service, which is the same at all schedulers.
func Service(tenant, service string) uint64 { return Hash("service", tenant, service) }
