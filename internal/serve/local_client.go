package serve

import (
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
)

// LocalListener connects clients without a socket, for measurements that leave the client protocol out.
type LocalListener struct{ server *Server }

// AnswerHandler takes what a client is told. Its methods must not block.
type AnswerHandler interface {
	// OnAnswer takes the final answer to a request.
	OnAnswer(ref uint64, answer engine.AnswerKind)
	// OnEnd takes the end of an allocation that was served.
	OnEnd(ref uint64)
}

// Connect connects a client.
func (l *LocalListener) Connect(handler AnswerHandler) *LocalClient {
	return &LocalClient{l.server.clients.connectLocal(handler)}
}

// LocalClient is a client without a socket.
type LocalClient struct{ client *clientConn }

// LocalRequest is a local client's request for an allocation.
type LocalRequest struct {
	Ref            uint64 // unique among the client's open requests
	Tenant         int    // index of the tenant
	JobClass       int    // index of the job class
	Service, Token uint64 // hashes of the service and of the idempotency key
	Cores, Memory  float64
	Within         float64 // ms until its deadline
}

// Allocate requests an allocation as the call of the client protocol does. It reports whether the ref was free.
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
