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
	errTooManyHandshakes = errors.New("too many handshakes under way")
	errServerOnly        = errors.New("keys: a server's credentials")
)

// Credentials are the guard's credentials for a gRPC server. Each handshake uses what was read last.
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

// ClientCredentials are a person's credentials for a gRPC client: NAME.pem and NAME.key in a folder that has the authority's ca.pem.
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

// guardedCredentials bound the handshakes under way and let the guard know the connections.
type guardedCredentials struct {
	credentials.TransportCredentials
	guard *Guard
}

// ServerHandshake makes a connection that the guard knows until it closes.
func (c guardedCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	select {
	case c.guard.handshakes <- struct{}{}:
		defer func() { <-c.guard.handshakes }()
	default:
		_ = raw.Close() // nothing was sent over it
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

// ClientHandshake fails: the credentials are a server's.
func (c guardedCredentials) ClientHandshake(context.Context, string, net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return nil, nil, errServerOnly
}

// Clone copies the credentials; the copy has the same guard.
func (c guardedCredentials) Clone() credentials.TransportCredentials {
	return guardedCredentials{c.TransportCredentials.Clone(), c.guard}
}

// trackedConn is a connection that the guard knows until it closes.
type trackedConn struct {
	net.Conn
	guard *Guard
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.guard.untrack(c)
	return c.Conn.Close()
}
