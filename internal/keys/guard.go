package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"ravenpond/internal/decide/access"
)

// Guard is a server's side: its certificate, whom it trusts, what is revoked, and the connections that stand. Load reads the files
// anew; connections that stand go on, but for those whose certificate was revoked or has expired.
type Guard struct {
	folder, name string

	mu         sync.Mutex
	tlsConfig  *tls.Config
	revoked    map[string]bool
	conns      map[*trackedConn]*x509.Certificate
	handshakes chan struct{} // one for each handshake under way
}

// maxHandshakes is how many may be under way: who begins them and never ends costs no more than that.
const maxHandshakes = 16

// NewGuard makes one for the server whose certificate is NAME.pem in a folder.
func NewGuard(folder, name string) (*Guard, error) {
	g := &Guard{folder: folder, name: name, conns: map[*trackedConn]*x509.Certificate{}, handshakes: make(chan struct{}, maxHandshakes)}
	return g, g.Load()
}

// Load reads certificate, authorities and revocations. On an error all stays as it was.
func (g *Guard) Load() error {
	path := func(name string) string { return filepath.Join(g.folder, name) }
	cert, err := tls.LoadX509KeyPair(path(g.name+".pem"), path(g.name+".key"))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	cas, err := Certificates(path(caFile))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	for _, c := range cas {
		pool.AddCert(c)
	}
	lists, err := readPEM(path(crlFile), "X509 CRL")
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	list, err := x509.ParseRevocationList(lists[0])
	if err != nil {
		return fmt.Errorf("keys: %s: %w", crlFile, err)
	}
	signed := false
	for _, c := range cas {
		signed = signed || list.CheckSignatureFrom(c) == nil
	}
	if !signed {
		return fmt.Errorf("keys: %s: no authority of %s signed it", crlFile, caFile)
	}
	revoked := map[string]bool{}
	for _, e := range list.RevokedCertificateEntries {
		revoked[e.SerialNumber.String()] = true
	}
	tlsConfig := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"}, SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 || revoked[s.PeerCertificates[0].SerialNumber.String()] {
				return errors.New("certificate was revoked")
			}
			return nil
		},
	}
	g.mu.Lock()
	g.tlsConfig, g.revoked = tlsConfig, revoked
	g.mu.Unlock()
	return nil
}

// ServerConfig is the TLS of a server that asks nobody for a certificate, with the one that was read last.
func (g *Guard) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return &g.tlsConfig.Certificates[0], nil
		},
	}
}

// reloadInterval is how often files are read again.
const reloadInterval = time.Second

// Watch reads the files again each second, and ends connections that are not good any more, until the context ends. say gets a
// line when that changes something or a file can't be read.
func (g *Guard) Watch(ctx context.Context, now func() time.Time, report func(fault bool, line string)) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		fault := ""
		if err := g.Load(); err != nil {
			fault = err.Error()
		}
		if fault != last && fault != "" {
			report(true, fault+"; those read before hold")
		}
		last = fault
		if n := g.CloseInvalid(now()); n > 0 {
			report(false, fmt.Sprintf("%d connections ended: their certificates are not good any more", n))
		}
	}
}

// CloseInvalid ends connections whose certificate was revoked or has expired, and tells how many.
func (g *Guard) CloseInvalid(now time.Time) (ended int) {
	g.mu.Lock()
	var invalid []*trackedConn
	for c, cert := range g.conns {
		if g.revoked[cert.SerialNumber.String()] || now.After(cert.NotAfter) {
			invalid = append(invalid, c)
		}
	}
	g.mu.Unlock()
	for _, c := range invalid {
		c.Close()
	}
	return len(invalid)
}

// Credentials are for a gRPC server.
func (g *Guard) Credentials() credentials.TransportCredentials {
	conf := &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.tlsConfig, nil
		},
	}
	return guardedCredentials{credentials.NewTLS(conf), g}
}

type guardedCredentials struct {
	credentials.TransportCredentials
	guard *Guard
}

// trackedConn is a connection that the guard knows until it closes.
type trackedConn struct {
	net.Conn
	guard *Guard
}

func (w *trackedConn) Close() error {
	w.guard.mu.Lock()
	delete(w.guard.conns, w)
	w.guard.mu.Unlock()
	return w.Conn.Close()
}

var errBusy = errors.New("too many handshakes under way")

func (c guardedCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	select {
	case c.guard.handshakes <- struct{}{}:
		defer func() { <-c.guard.handshakes }()
	default:
		raw.Close()
		return nil, nil, errBusy
	}
	conn, info, err := c.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	certs := info.(credentials.TLSInfo).State.PeerCertificates
	w := &trackedConn{conn, c.guard}
	c.guard.mu.Lock()
	c.guard.conns[w] = certs[0]
	c.guard.mu.Unlock()
	return w, info, nil
}

func (c guardedCredentials) ClientHandshake(context.Context, string, net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return nil, nil, errors.New("keys: a server's credentials")
}

func (c guardedCredentials) Clone() credentials.TransportCredentials {
	return guardedCredentials{c.TransportCredentials.Clone(), c.guard}
}

// CallerOf is who a certificate says it is for.
func CallerOf(c *x509.Certificate) (access.Caller, error) {
	s := c.Subject
	if len(s.OrganizationalUnit) != 1 {
		return access.Caller{}, errors.New("certificate without a role")
	}
	role, err := access.ParseRole(s.OrganizationalUnit[0])
	if err != nil {
		return access.Caller{}, err
	}
	who := access.Caller{Role: role, Name: s.CommonName}
	if role.IsTenantRole() {
		if len(s.Organization) != 1 {
			return access.Caller{}, errors.New("certificate without a tenant")
		}
		who.Tenant = s.Organization[0]
	}
	return who, nil
}

// ClientCredentials is a person's side: NAME.pem and NAME.key in a folder that has the authority's ca.pem.
func ClientCredentials(folder, name string) (credentials.TransportCredentials, error) {
	path := func(name string) string { return filepath.Join(folder, name) }
	cert, err := tls.LoadX509KeyPair(path(name+".pem"), path(name+".key"))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	cas, err := Certificates(path(caFile))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	for _, c := range cas {
		pool.AddCert(c)
	}
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool}), nil
}
