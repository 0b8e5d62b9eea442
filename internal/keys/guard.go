package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"
	"time"
)

// reloadInterval is the time between two reloads of the folder.
const reloadInterval = time.Second

// maxHandshakes is the maximum number of concurrent handshakes. It bounds the cost of clients that never complete one.
const maxHandshakes = 16

// Guard holds the TLS state of a server: its certificate, the trusted authorities, the revoked certificates and the open connections.
type Guard struct {
	folder, name string
	handshakes   chan struct{} // semaphore: holds one element for each handshake in progress

	mu        sync.Mutex // protects the following fields
	tlsConfig *tls.Config
	revoked   map[string]bool // by serial number
	conns     map[*trackedConn]*x509.Certificate
}

// NewGuard loads a folder for the server whose certificate is NAME.pem.
func NewGuard(folder, name string) (*Guard, error) {
	g := &Guard{
		folder: folder, name: name,
		conns:      map[*trackedConn]*x509.Certificate{},
		handshakes: make(chan struct{}, maxHandshakes),
	}
	return g, g.Load()
}

// Load reads the folder again. Open connections stay open. If Load returns an error, the previous configuration stays in use.
func (g *Guard) Load() error {
	identity, authorities, err := loadIdentity(g.folder, g.name)
	if err != nil {
		return err
	}
	revoked, err := loadRevoked(g.folder, authorities)
	if err != nil {
		return err
	}
	tlsConfig := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{identity},
		ClientCAs:              newCertPool(authorities),
		ClientAuth:             tls.RequireAndVerifyClientCert,
		NextProtos:             []string{"h2"},
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 || revoked[s.PeerCertificates[0].SerialNumber.String()] {
				return errRevoked
			}
			return nil
		},
	}
	g.mu.Lock()
	g.tlsConfig, g.revoked = tlsConfig, revoked
	g.mu.Unlock()
	return nil
}

var errRevoked = errors.New("certificate was revoked")

// loadRevoked returns the serial numbers of the revoked certificates. The list must be signed by one of the authorities.
func loadRevoked(folder string, authorities []*x509.Certificate) (map[string]bool, error) {
	list, err := readRevocationList(folder)
	if err != nil {
		return nil, err
	}
	signed := false
	for _, c := range authorities {
		signed = signed || list.CheckSignatureFrom(c) == nil
	}
	if !signed {
		return nil, fmt.Errorf("keys: %s: not signed by any authority in %s", crlFile, caFile)
	}
	revoked := map[string]bool{}
	for _, entry := range list.RevokedCertificateEntries {
		revoked[entry.SerialNumber.String()] = true
	}
	return revoked, nil
}

// currentConfig returns the TLS configuration that was loaded last.
func (g *Guard) currentConfig() *tls.Config {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tlsConfig
}

// ServerConfig returns the TLS configuration of a server that does not request client certificates. Each handshake uses the certificate that
// was loaded last.
func (g *Guard) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &g.currentConfig().Certificates[0], nil
		},
	}
}

// Watch reloads the folder every second and closes connections whose certificate is no longer valid, until the context ends. It reports how
// many connections it closed, and as a fault that the folder cannot be loaded; a fault that persists is reported once.
func (g *Guard) Watch(ctx context.Context, now func() time.Time, report func(fault bool, line string)) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	lastFault := ""
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
		if fault != lastFault && fault != "" {
			report(true, fault+"; still using the certificates that were loaded before")
		}
		lastFault = fault
		if n := g.CloseInvalid(now()); n > 0 {
			report(false, fmt.Sprintf("closed %d connections whose certificates were revoked or have expired", n))
		}
	}
}

// CloseInvalid closes connections whose certificate was revoked or has expired, and returns how many it closed.
func (g *Guard) CloseInvalid(now time.Time) (closed int) {
	invalid := g.invalidConns(now)
	for _, c := range invalid {
		_ = c.Close() // the connection is unregistered even if this fails
	}
	return len(invalid)
}

func (g *Guard) invalidConns(now time.Time) (invalid []*trackedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, certificate := range g.conns {
		if g.revoked[certificate.SerialNumber.String()] || now.After(certificate.NotAfter) {
			invalid = append(invalid, c)
		}
	}
	return invalid
}

func (g *Guard) track(c *trackedConn, certificate *x509.Certificate) {
	g.mu.Lock()
	g.conns[c] = certificate
	g.mu.Unlock()
}

func (g *Guard) untrack(c *trackedConn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
}
