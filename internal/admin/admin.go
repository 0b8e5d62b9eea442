// Package admin serves the administration API over gRPC. The API adds, limits, pauses and removes tenants, issues and revokes their
// tokens, and returns the audit log of changes.
//
// The client certificate names the caller (package keys). Package decide/access decides what the caller may do, and package
// decide/tenancy how a change affects a tenant. The state is in the store of package state/tenants, which is opened for one call at a
// time, so that several processes can use it in turn.
//
// A Server has no mutable state of its own; gRPC calls it from many goroutines. Errors are gRPC statuses: the status of an invalid change
// names the invalid field; an internal error is logged and not shown to the caller.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"ravenpond/internal/decide/access"
	"ravenpond/internal/keys"
	pb "ravenpond/internal/proto/admin"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// Server implements the API. Its fields are set before Serve and not changed afterwards.
type Server struct {
	pb.UnimplementedTenantsServer
	Open  func() (*tenants.Store, error) // opens the store; the server closes it after each call
	Guard *keys.Guard
	Log   zerolog.Logger
	Now   func() time.Time
}

const (
	maxMessageBytes  = 64 << 10
	maxStreams       = 64 // concurrent calls on a connection
	maxConnections   = 256
	handshakeTimeout = 3 * time.Second
	stopTimeout      = time.Second // calls in progress have this time to complete when the server stops
	openAttempts     = 10          // attempts to open a store that another process has locked, 0.2 s apart
)

// Serve serves the API on an address until the context ends. It calls ready with the address once clients can connect; ready may be nil.
func (s *Server) Serve(ctx context.Context, address string, ready func(address string)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("administration API: %w", err)
	}
	grpcServer := grpc.NewServer(
		grpc.Creds(s.Guard.Credentials()),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.UnaryInterceptor(s.logCall),
	)
	pb.RegisterTenantsServer(grpcServer, s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Guard.Watch(ctx, s.Now, s.logKeys)
		forceStop := time.AfterFunc(stopTimeout, grpcServer.Stop)
		grpcServer.GracefulStop()
		forceStop.Stop()
	}()
	s.Log.Info().Str("mode", "admin").Str("address", listener.Addr().String()).Msg("administration API listening")
	if ready != nil {
		ready(listener.Addr().String())
	}
	err = grpcServer.Serve(newBoundedListener(listener, maxConnections))
	<-done
	if ctx.Err() != nil {
		return nil //nolint:nilerr // the server stops normally when the context ends
	}
	return err
}

// logKeys logs a message about the certificates: at level error if it is a fault, else at level info.
func (s *Server) logKeys(fault bool, line string) {
	level := zerolog.InfoLevel
	if fault {
		level = zerolog.ErrorLevel
	}
	s.Log.WithLevel(level).Str("mode", "keys").Msg(line)
}

// logCall is an interceptor that logs the caller, the method and the status of each call. A call without permission is logged as a warning.
func (s *Server) logCall(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	began := time.Now()
	response, err := handle(ctx, request)
	caller, _ := callerOf(ctx) // an unknown caller is logged without a name
	line := s.Log.Debug()
	if status.Code(err) == codes.PermissionDenied {
		line = s.Log.Warn()
	}
	line.Str("mode", "admin").Str("by", caller.Name).Stringer("role", caller.Role).
		Str("call", info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]).
		Str("code", status.Code(err).String()).Dur("ms", time.Since(began)).Send()
	return response, err
}

// Errors of calls whose connection does not identify the caller.
var (
	errNoPeer        = errors.New("the call has no peer information")
	errNoCertificate = errors.New("the client sent no certificate")
)

// callerOf returns the caller that the client certificate of a call names.
func callerOf(ctx context.Context) (access.Caller, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return access.Caller{}, errNoPeer
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return access.Caller{}, errNoCertificate
	}
	return keys.CallerOf(info.State.PeerCertificates[0])
}

// authorize returns the caller of a call, and errNotAllowed unless the caller may perform the action on the tenant.
func authorize(ctx context.Context, action access.Action, tenant string) (access.Caller, error) {
	caller, err := callerOf(ctx)
	if err != nil || !caller.Can(action, tenant) {
		return caller, errNotAllowed
	}
	return caller, nil
}

// withStore opens the store, calls do and closes the store. It retries while another process has the store locked.
func (s *Server) withStore(ctx context.Context, do func(store *tenants.Store) error) error {
	var store *tenants.Store
	err := bolt.RetryWhileLocked(ctx, openAttempts, func() (err error) { store, err = s.Open(); return err })
	switch {
	case ctx.Err() != nil:
		if err == nil {
			err = store.Close()
		}
		return errors.Join(status.FromContextError(ctx.Err()).Err(), err)
	case errors.Is(err, bolt.ErrLocked):
		return status.Error(codes.Unavailable, "the store is held; try again")
	case err != nil:
		s.Log.Error().Str("mode", "admin").Err(err).Send()
		return status.Error(codes.Internal, "the store can't be opened")
	}
	return errors.Join(do(store), store.Close())
}
