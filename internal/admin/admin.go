// Package admin serves the administration API: who calls is told by the certificate, what they may do by decide/access, what
// becomes of a change by decide/tenancy, and what is kept by state/tenants, whose store is opened for one call at a time.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"ravenpond/internal/decide/access"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/keys"
	pb "ravenpond/internal/proto/admin"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// Server is the API.
type Server struct {
	pb.UnimplementedTenantsServer
	Open  func() (*tenants.Store, error)
	Guard *keys.Guard
	Log   zerolog.Logger
	Now   func() time.Time
}

const (
	maxMessageBytes  = 64 << 10
	maxStreams       = 64 // calls at once on a connection
	maxConnections   = 256
	handshakeTimeout = 3 * time.Second
	maxPageSize      = 1000
	defaultPageSize  = 100
	openAttempts     = 10 // a store that somebody else has just now is tried, 0.2 s each
)

// Serve serves on an address until the context ends; ready is called with the address when callers may come.
func (s *Server) Serve(ctx context.Context, address string, ready func(string)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("administration: %w", err)
	}
	grpcServer := grpc.NewServer(grpc.Creds(s.Guard.Credentials()), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.UnaryInterceptor(s.log))
	pb.RegisterTenantsServer(grpcServer, s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Guard.Watch(ctx, s.Now, func(fault bool, line string) {
			level := zerolog.InfoLevel
			if fault {
				level = zerolog.ErrorLevel
			}
			s.Log.WithLevel(level).Str("mode", "keys").Msg(line)
		})
		limit := time.AfterFunc(time.Second, grpcServer.Stop)
		grpcServer.GracefulStop()
		limit.Stop()
	}()
	s.Log.Info().Str("mode", "admin").Str("address", listener.Addr().String()).Msg("administration begins")
	if ready != nil {
		ready(listener.Addr().String())
	}
	err = grpcServer.Serve(&boundedListener{Listener: listener, slots: make(chan struct{}, maxConnections)})
	<-done
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// boundedListener accepts so many connections at once; more are closed at once, before any of their bytes is read.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

type countedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { <-c.listener.slots })
	return c.Conn.Close()
}

func (b *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case b.slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		return &countedConn{Conn: c, listener: b}, nil
	}
}

// log notes who did what; reasons of refusals stand in the log alone.
func (s *Server) log(ctx context.Context, req any, info *grpc.UnaryServerInfo, call grpc.UnaryHandler) (any, error) {
	began := time.Now()
	answer, err := call(ctx, req)
	who, _ := caller(ctx)
	line := s.Log.Debug()
	if status.Code(err) == codes.PermissionDenied {
		line = s.Log.Warn()
	}
	line.Str("mode", "admin").Str("by", who.Name).Stringer("role", who.Role).Str("call", info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]).
		Str("code", status.Code(err).String()).Dur("ms", time.Since(began)).Send()
	return answer, err
}

func caller(ctx context.Context) (access.Caller, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return access.Caller{}, errors.New("no peer")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return access.Caller{}, errors.New("no certificate")
	}
	return keys.CallerOf(info.State.PeerCertificates[0])
}

var errNotAllowed = status.Error(codes.PermissionDenied, "not allowed")

// authorize gives the caller, if they may do something.
func authorize(ctx context.Context, act access.Action, tenant string) (access.Caller, error) {
	who, err := caller(ctx)
	if err != nil || !who.Can(act, tenant) {
		return who, errNotAllowed
	}
	return who, nil
}

// withStore does something with the store, waiting for whoever has it just now.
func (s *Server) withStore(ctx context.Context, use func(st *tenants.Store) error) error {
	var st *tenants.Store
	err := bolt.RetryWhileLocked(ctx, openAttempts, func() (err error) { st, err = s.Open(); return err })
	switch {
	case ctx.Err() != nil:
		if err == nil {
			err = st.Close()
		}
		return errors.Join(status.FromContextError(ctx.Err()).Err(), err)
	case errors.Is(err, bolt.ErrLocked):
		return status.Error(codes.Unavailable, "the store is held; try again")
	case err != nil:
		s.Log.Error().Str("mode", "admin").Err(err).Send()
		return status.Error(codes.Internal, "the store can't be opened")
	}
	return errors.Join(use(st), st.Close())
}

// statusError is an error with field and reason.
func statusError(f *tenancy.ChangeError) error {
	code := [...]codes.Code{
		tenancy.Invalid: codes.InvalidArgument, tenancy.NotFound: codes.NotFound, tenancy.Exists: codes.AlreadyExists,
		tenancy.Stale: codes.Aborted, tenancy.NotAllowed: codes.FailedPrecondition, tenancy.NoCapacity: codes.ResourceExhausted,
	}[f.Kind]
	st, err := status.New(code, f.Error()).WithDetails(&errdetails.BadRequest{
		FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: f.Field, Description: f.Text}},
	})
	if err != nil {
		return status.Error(code, f.Error())
	}
	return st.Err()
}

func invalidArgument(field, text string) error {
	return statusError(&tenancy.ChangeError{Field: field, Kind: tenancy.Invalid, Text: text})
}

// maxRequestIDBytes is how long a request id may be.
const maxRequestIDBytes = 100

// change carries a change out.
func (s *Server) change(ctx context.Context, act access.Action, request string, c tenancy.Change, limits func(*tenancy.Limits)) (out *pb.Tenant, err error) {
	who, err := authorize(ctx, act, c.Name)
	if err != nil {
		return nil, err
	}
	if len(request) > maxRequestIDBytes {
		return nil, invalidArgument("request_id", fmt.Sprintf("at most %d bytes are expected", maxRequestIDBytes))
	}
	err = s.withStore(ctx, func(st *tenants.Store) error {
		if c.Kind == tenancy.Limit {
			all, err := st.Read()
			if err != nil {
				return err
			}
			t, _ := all.Tenants.Get(c.Name)
			c.Limits = t.Limits
		}
		if limits != nil {
			limits(&c.Limits)
		}
		t, fault, err := st.Apply(s.Now(), who.Name, request, c)
		switch {
		case errors.Is(err, tenants.ErrRequestReused):
			return invalidArgument("request_id", "it was used for another change")
		case err != nil:
			return err
		case fault != nil:
			return statusError(fault)
		}
		out = tenantMessage(&t)
		return nil
	})
	return out, s.publicError(err)
}

// publicError keeps what went wrong inside from the caller.
func (s *Server) publicError(err error) error {
	var st interface{ GRPCStatus() *status.Status }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &st):
		return st.GRPCStatus().Err() // without what joined it
	}
	s.Log.Error().Str("mode", "admin").Err(err).Send()
	return status.Error(codes.Internal, "failed inside; its log says why")
}

func tenantMessage(t *tenancy.Tenant) *pb.Tenant {
	l, open, wait, conns := t.Limits, int64(t.Limits.MaxOpen), int64(t.Limits.MaxWaiting), int64(t.Limits.MaxConns)
	return &pb.Tenant{
		Name: t.Name, State: pb.State(t.State), Ending: pb.Ending(t.Removal), Version: t.Version, ChangedMs: t.StateChangedAt,
		Limits: &pb.Limits{
			Share: &l.Share, Rate: &l.Rate, Burst: &l.Burst, Open: &open, Wait: &wait, Conns: &conns,
			Bytes: &l.BytesPerSecond,
		},
	}
}

// applyLimits puts the limits that a message sets over others.
func applyLimits(m *pb.Limits) func(*tenancy.Limits) {
	return func(l *tenancy.Limits) {
		if m == nil {
			return
		}
		number := func(to *float64, from *float64) {
			if from != nil {
				*to = *from
			}
		}
		count := func(to *int, from *int64) {
			if from != nil {
				*to = int(*from)
			}
		}
		number(&l.Share, m.Share)
		number(&l.Rate, m.Rate)
		number(&l.Burst, m.Burst)
		number(&l.BytesPerSecond, m.Bytes)
		count(&l.MaxOpen, m.Open)
		count(&l.MaxWaiting, m.Wait)
		count(&l.MaxConns, m.Conns)
	}
}

// What a new tenant has where nothing else is said.
var defaultLimits = tenancy.Limits{Limits: fairqueue.Limits{Share: 1, Burst: 10, MaxWaiting: 1000}}

// Add adds a tenant.
func (s *Server) Add(ctx context.Context, r *pb.AddRequest) (*pb.Tenant, error) {
	return s.change(ctx, access.Manage, r.RequestId, tenancy.Change{Kind: tenancy.Add, Name: r.Name, Limits: defaultLimits}, applyLimits(r.Limits))
}

// Limit changes limits.
func (s *Server) Limit(ctx context.Context, r *pb.LimitRequest) (*pb.Tenant, error) {
	return s.change(ctx, access.Manage, r.RequestId, tenancy.Change{Kind: tenancy.Limit, Name: r.Name, Version: r.Version}, applyLimits(r.Limits))
}

// Pause pauses a tenant.
func (s *Server) Pause(ctx context.Context, r *pb.ChangeRequest) (*pb.Tenant, error) {
	return s.change(ctx, access.PauseResume, r.RequestId, tenancy.Change{Kind: tenancy.Pause, Name: r.Name, Version: r.Version}, nil)
}

// Resume takes its asks again.
func (s *Server) Resume(ctx context.Context, r *pb.ChangeRequest) (*pb.Tenant, error) {
	return s.change(ctx, access.PauseResume, r.RequestId, tenancy.Change{Kind: tenancy.Resume, Name: r.Name, Version: r.Version}, nil)
}

// Remove removes a tenant.
func (s *Server) Remove(ctx context.Context, r *pb.RemoveRequest) (*pb.Tenant, error) {
	if r.Ending < 0 || r.Ending > pb.Ending_STOP {
		return nil, invalidArgument("ending", "RUN_OUT or STOP is expected")
	}
	return s.change(ctx, access.Manage, r.RequestId, tenancy.Change{
		Kind: tenancy.Remove, Name: r.Name, Version: r.Version,
		Removal: tenancy.RemovalMode(r.Ending),
	}, nil)
}

// Get gives a tenant.
func (s *Server) Get(ctx context.Context, r *pb.GetRequest) (out *pb.Tenant, err error) {
	if _, err := authorize(ctx, access.View, r.Name); err != nil {
		return nil, err
	}
	err = s.withStore(ctx, func(st *tenants.Store) error {
		all, err := st.Read()
		if err != nil {
			return err
		}
		t, ok := all.Tenants.Get(r.Name)
		if !ok {
			return statusError(&tenancy.ChangeError{Field: "name", Kind: tenancy.NotFound, Text: fmt.Sprintf("no tenant %.70q", r.Name)})
		}
		out = tenantMessage(&t)
		return nil
	})
	return out, s.publicError(err)
}

func pageSize(size int32) (int, error) {
	switch {
	case size == 0:
		return defaultPageSize, nil
	case size < 0 || size > maxPageSize:
		return 0, invalidArgument("page_size", fmt.Sprintf("1 to %d is expected", maxPageSize))
	}
	return int(size), nil
}

// List gives the tenants that the caller may see, in order of their names. A page begins after the name that the last one ended
// with, so that a tenant that is added or removed meanwhile shifts nothing.
func (s *Server) List(ctx context.Context, r *pb.ListRequest) (*pb.ListResponse, error) {
	who, err := caller(ctx)
	if err != nil {
		return nil, errNotAllowed
	}
	size, err := pageSize(r.PageSize)
	if err != nil {
		return nil, err
	}
	out := &pb.ListResponse{}
	err = s.withStore(ctx, func(st *tenants.Store) error {
		all, err := st.Read()
		if err != nil {
			return err
		}
		for _, t := range all.Tenants.All() {
			if t.Name <= r.PageToken || !who.CanView(t.Name) || t.State == tenancy.Removed && !r.Removed {
				continue
			}
			if len(out.Tenants) == size {
				out.NextPageToken = out.Tenants[size-1].Name
				break
			}
			out.Tenants = append(out.Tenants, tenantMessage(&t))
		}
		return nil
	})
	return out, s.publicError(err)
}

// IssueToken makes a token.
func (s *Server) IssueToken(ctx context.Context, r *pb.IssueTokenRequest) (out *pb.IssueTokenResponse, err error) {
	who, err := authorize(ctx, access.ManageTokens, r.Name)
	if err != nil {
		return nil, err
	}
	const most = 10 * 365 * 24 * 3600
	if r.LastsS < 1 || r.LastsS > most {
		return nil, invalidArgument("lasts_s", fmt.Sprintf("1 to %d is expected", most))
	}
	err = s.withStore(ctx, func(st *tenants.Store) error {
		shown, err := st.IssueToken(s.Now(), who.Name, r.Name, time.Duration(r.LastsS)*time.Second)
		var fault *tenancy.ChangeError
		if errors.As(err, &fault) {
			return statusError(fault)
		}
		out = &pb.IssueTokenResponse{Token: shown}
		return err
	})
	return out, s.publicError(err)
}

// RevokeToken ends one. Whose it is decides who may: a token of another tenant's is as one that is not there.
func (s *Server) RevokeToken(ctx context.Context, r *pb.RevokeTokenRequest) (*pb.RevokeTokenResponse, error) {
	who, err := caller(ctx)
	if err != nil {
		return nil, errNotAllowed
	}
	err = s.withStore(ctx, func(st *tenants.Store) error {
		all, err := st.Read()
		if err != nil {
			return err
		}
		if k, ok := all.Tokens[r.Id]; !who.Can(access.ManageTokens, k.Tenant) {
			return errNotAllowed
		} else if !ok {
			return statusError(&tenancy.ChangeError{Field: "id", Kind: tenancy.NotFound, Text: "no such token"})
		}
		return st.RevokeToken(s.Now(), who.Name, r.Id)
	})
	return &pb.RevokeTokenResponse{}, s.publicError(err)
}

// Records gives a page of the record of changes.
func (s *Server) Records(ctx context.Context, r *pb.RecordsRequest) (*pb.RecordsResponse, error) {
	if _, err := authorize(ctx, access.ViewAudit, ""); err != nil {
		return nil, err
	}
	size, err := pageSize(r.PageSize)
	if err != nil {
		return nil, err
	}
	out := &pb.RecordsResponse{}
	err = s.withStore(ctx, func(st *tenants.Store) error {
		err := st.Records(max(1, r.From), func(n uint64, rec tenants.Record) error {
			if len(out.Records) == size {
				if out.Next == 0 {
					out.Next = n
				}
				return nil
			}
			out.Records = append(out.Records, &pb.Record{
				Number: n, AtMs: float64(rec.At.UnixMilli()), By: rec.Actor, What: rec.Action,
				Tenant: rec.Tenant, After: string(rec.After),
			})
			return nil
		})
		if errors.Is(err, tenants.ErrTampered) {
			return status.Error(codes.DataLoss, err.Error())
		}
		return err
	})
	if err != nil {
		return nil, s.publicError(err)
	}
	return out, nil
}
