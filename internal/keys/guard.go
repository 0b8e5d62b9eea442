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

// reloadInterval is the time between two readings of the folder.
const reloadInterval = time.Second

// maxHandshakes is how many handshakes may be under way, so that clients that never complete one cost no more than that.
const maxHandshakes = 16

// Guard is the server's side: its certificate, the authorities that it trusts, the revoked certificates, and the open connections.
type Guard struct {
	folder, name string
	handshakes   chan struct{} // holds one for each handshake under way

	mu        sync.Mutex // guards the following fields
	tlsConfig *tls.Config
	revoked   map[string]bool // by serial number
	conns     map[*trackedConn]*x509.Certificate
}

// NewGuard reads the folder for the server whose certificate is NAME.pem.
func NewGuard(folder, name string) (*Guard, error) {
	g := &Guard{
		folder: folder, name: name,
		conns:      map[*trackedConn]*x509.Certificate{},
		handshakes: make(chan struct{}, maxHandshakes),
	}
	return g, g.Load()
}

// Load reads the folder again. Open connections go on. On an error nothing changes.
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

// loadRevoked reads the serial numbers of the revoked certificates. One of the authorities must have signed the list.
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
		return nil, fmt.Errorf("keys: %s: no authority of %s signed it", crlFile, caFile)
	}
	revoked := map[string]bool{}
	for _, entry := range list.RevokedCertificateEntries {
		revoked[entry.SerialNumber.String()] = true
	}
	return revoked, nil
}

// currentConfig is the TLS configuration that was read last.
func (g *Guard) currentConfig() *tls.Config {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tlsConfig
}

// ServerConfig is the TLS configuration of a server that asks clients for no certificate. It uses the certificate that was read
// last.
func (g *Guard) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &g.currentConfig().Certificates[0], nil
		},
	}
}

// Watch reads the folder each second and closes connections whose certificate is no longer valid, until the context ends. It
// reports what that changed, and as a fault if the folder can't be read.
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
			report(true, fault+"; those read before hold")
		}
		lastFault = fault
		if n := g.CloseInvalid(now()); n > 0 {
			report(false, fmt.Sprintf("%d connections ended: their certificates are not good any more", n))
		}
	}
}

// CloseInvalid closes connections whose certificate was revoked or has expired. It returns how many.
func (g *Guard) CloseInvalid(now time.Time) (closed int) {
	invalid := g.invalidConns(now)
	for _, c := range invalid {
		_ = c.Close() // it is not used any more, whether this succeeds or not
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
