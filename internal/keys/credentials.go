package keys

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"google.golang.org/grpc/credentials"
)

// Errors of handshakes.
var (
	errTooManyHandshakes = errors.New("too many TLS handshakes in progress")
	errServerOnly        = errors.New("keys: credentials of a server cannot be used by a client")
)

// Credentials returns the credentials for a gRPC server. Each handshake uses the configuration that was loaded last.
func (g *Guard) Credentials() credentials.TransportCredentials {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return g.currentConfig(), nil
		},
	}
	return guardedCredentials{credentials.NewTLS(config), g}
}

// ClientCredentials returns a person's credentials for a gRPC client, from NAME.pem and NAME.key in a folder that has the authority's ca.pem.
func ClientCredentials(folder, name string) (credentials.TransportCredentials, error) {
	identity, authorities, err := loadIdentity(folder, name)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{identity},
		RootCAs:      newCertPool(authorities),
	}), nil
}

// guardedCredentials limits the number of concurrent handshakes and registers connections with a Guard.
type guardedCredentials struct {
	credentials.TransportCredentials
	guard *Guard
}

// ServerHandshake performs a handshake and returns a connection that stays registered until it is closed.
func (c guardedCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	select {
	case c.guard.handshakes <- struct{}{}:
		defer func() { <-c.guard.handshakes }()
	default:
		_ = raw.Close() // nothing was sent, so an error does not matter
		return nil, nil, errTooManyHandshakes
	}
	conn, info, err := c.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	certificates := info.(credentials.TLSInfo).State.PeerCertificates
	tracked := &trackedConn{conn, c.guard}
	c.guard.track(tracked, certificates[0])
	return tracked, info, nil
}

// ClientHandshake fails, because the credentials are for servers only.
func (c guardedCredentials) ClientHandshake(context.Context, string, net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return nil, nil, errServerOnly
}

// Clone returns a copy of the credentials with the same Guard.
func (c guardedCredentials) Clone() credentials.TransportCredentials {
	return guardedCredentials{c.TransportCredentials.Clone(), c.guard}
}

// trackedConn is a connection that is registered with a Guard until it is closed.
type trackedConn struct {
	net.Conn
	guard *Guard
}

// Close unregisters and closes the connection.
func (c *trackedConn) Close() error {
	c.guard.untrack(c)
	return c.Conn.Close()
}
