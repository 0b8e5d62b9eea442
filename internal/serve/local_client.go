package serve

import (
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
)

// LocalListener connects clients without a socket, for measurements that exclude the client protocol.
type LocalListener struct{ server *Server }

// AnswerHandler receives the notifications to a local client. Its methods must not block.
type AnswerHandler interface {
	// OnAnswer is called with the final answer to a request.
	OnAnswer(ref uint64, answer engine.AnswerKind)
	// OnEnd is called when a served allocation has ended.
	OnEnd(ref uint64)
}

// Connect connects a client whose notifications go to a handler.
func (l *LocalListener) Connect(handler AnswerHandler) *LocalClient {
	return &LocalClient{l.server.clients.connectLocal(handler)}
}

// LocalClient is a client without a socket.
type LocalClient struct{ client *clientConn }

// LocalRequest is a local client's request for an allocation.
type LocalRequest struct {
	Ref            uint64 // number of the request, unique among the client's open ones
	Tenant         int    // index of the tenant
	JobClass       int    // index of the job class
	Service, Token uint64 // hashes of the service and of the idempotency key
	Cores, Memory  float64
	Within         float64 // time until the deadline, ms
}

// Allocate requests an allocation like the call allocate of the client protocol. It reports whether the Ref was not in use.
func (l *LocalClient) Allocate(r LocalRequest) bool {
	c := l.client
	deadline := c.listener.env.Now() + r.Within
	if !c.openRequest(r.Ref, deadline) {
		return false
	}
	c.listener.handler.allocate(c, allocateRequest{
		id: shardownership.ID{Tenant: r.Tenant, Token: r.Token},
		request: shardownership.Request{
			Client: c.id, Ref: r.Ref, JobClass: r.JobClass, Service: r.Service, Cores: r.Cores, Memory: r.Memory,
			Deadline: deadline,
		},
	})
	return true
}
