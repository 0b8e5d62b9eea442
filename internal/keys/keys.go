// Package keys is an authority of one's own for the administration: it issues short-lived certificates for servers and people,
// rotates its key without cutting anybody off, and revokes. All is in a folder of PEM files: ca.pem (the certificates that are
// trusted, the newest first), ca.key, crl.pem, and NAME.pem with NAME.key for each that was issued.
package keys

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"ravenpond/internal/decide/access"
)

// Files of a folder.
const (
	caFile    = "ca.pem"
	caKeyFile = "ca.key"
	crlFile   = "crl.pem"
)

const (
	authorityLifetime = 5 * 365 * 24 * time.Hour
	clockSkew         = 5 * time.Minute // by which clocks may differ
	crlLifetime       = 365 * 24 * time.Hour
)

// Authority is a folder with its key.
type Authority struct{ folder string }

// Init makes an authority in a folder that has none.
func Init(folder string, now time.Time) (*Authority, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if _, err := os.Stat(filepath.Join(folder, caKeyFile)); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("keys: %s has an authority already (or: %v)", folder, err)
	}
	a := &Authority{folder}
	return a, a.renew(now, nil, nil)
}

// Open opens one.
func Open(folder string) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(folder, caKeyFile)); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return &Authority{folder}, nil
}

// renew makes a key and a certificate for the authority itself, which is trusted beside older ones. The certificate is on the disk
// before the key that needs it: a kill between leaves the old key, which its old certificate still goes with.
func (a *Authority) renew(now time.Time, older []byte, revoked []x509.RevocationListEntry) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial, err := newSerial()
	if err != nil {
		return err
	}
	made := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "ravenpond authority " + now.UTC().Format(time.DateOnly)},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(authorityLifetime), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, made, made, key.Public(), key)
	if err != nil {
		return err
	}
	if err := a.write(caFile, append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), older...), 0o644); err != nil {
		return err
	}
	if err := a.writeKey(caKeyFile, key); err != nil {
		return err
	}
	return a.writeCRL(now, revoked)
}

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
}

func (a *Authority) write(name string, b []byte, mode os.FileMode) error {
	return renameio.WriteFile(filepath.Join(a.folder, name), b, mode)
}

func (a *Authority) writeKey(name string, key crypto.Signer) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return a.write(name, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600)
}

// readPEM reads the PEM blocks of a kind in a file.
func readPEM(path, kind string) (all [][]byte, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for {
		var p *pem.Block
		if p, b = pem.Decode(b); p == nil {
			break
		}
		if p.Type == kind {
			all = append(all, p.Bytes)
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no %s in it", path, kind)
	}
	return all, nil
}

// signer gives the authority's key and the certificate that goes with it: after a rotation that was killed halfway the newest
// may not.
func (a *Authority) signer() (*x509.Certificate, crypto.Signer, error) {
	keys, err := readPEM(filepath.Join(a.folder, caKeyFile), "PRIVATE KEY")
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keys[0])
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", caKeyFile, err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("%s: an ECDSA key is expected", caKeyFile)
	}
	certs, err := Certificates(filepath.Join(a.folder, caFile))
	if err != nil {
		return nil, nil, err
	}
	for _, c := range certs {
		if key.PublicKey.Equal(c.PublicKey) {
			return c, key, nil
		}
	}
	return nil, nil, fmt.Errorf("%s: none of %d certificates goes with %s", caFile, len(certs), caKeyFile)
}

// Certificates reads those of a file.
func Certificates(path string) (all []*x509.Certificate, err error) {
	ders, err := readPEM(path, "CERTIFICATE")
	if err != nil {
		return nil, err
	}
	for _, der := range ders {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, c)
	}
	return all, nil
}

// Subject is who a certificate is for.
type Subject struct {
	Name     string   // of the files, and of the person or server
	Hosts    []string // of a server; none: a person
	Role     access.Role
	Tenant   string
	Lifetime time.Duration
}

// Issue makes a key and a certificate and writes them into the folder.
func (a *Authority) Issue(now time.Time, w Subject) (*x509.Certificate, error) {
	switch {
	case w.Name == "" || w.Name != filepath.Base(w.Name) || w.Name == "ca" || w.Name == "crl" || w.Name[0] == '.':
		return nil, fmt.Errorf("keys: name %q: a plain word is expected, not ca or crl", w.Name)
	case w.Lifetime <= 0:
		return nil, errors.New("keys: a time above 0 is expected")
	case len(w.Hosts) == 0 && w.Role == access.NoRole:
		return nil, errors.New("keys: a person has a role, a server has hosts")
	case w.Role.IsTenantRole() != (w.Tenant != ""):
		return nil, fmt.Errorf("keys: role %s: a tenant stands where the role is one tenant's, and only there", w.Role)
	}
	ca, signer, err := a.signer()
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	made := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: w.Name}, NotBefore: now.Add(-clockSkew),
		NotAfter: earlier(now.Add(w.Lifetime), ca.NotAfter), KeyUsage: x509.KeyUsageDigitalSignature,
	}
	if len(w.Hosts) > 0 {
		made.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
		for _, h := range w.Hosts {
			if ip := net.ParseIP(h); ip != nil {
				made.IPAddresses = append(made.IPAddresses, ip)
			} else {
				made.DNSNames = append(made.DNSNames, h)
			}
		}
	} else {
		made.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
		made.Subject.OrganizationalUnit = []string{w.Role.String()}
		if w.Tenant != "" {
			made.Subject.Organization = []string{w.Tenant}
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, made, ca, key.Public(), signer)
	if err != nil {
		return nil, err
	}
	if err := a.writeKey(w.Name+".key", key); err != nil {
		return nil, err
	}
	if err := a.write(w.Name+".pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644); err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// Rotate makes a new key for the authority. What the old one signed stays good until it expires, as its certificate is still
// trusted; those that expired are dropped.
func (a *Authority) Rotate(now time.Time) error {
	certs, err := Certificates(filepath.Join(a.folder, caFile))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	var older bytes.Buffer
	for _, c := range certs {
		if now.Before(c.NotAfter) {
			_ = pem.Encode(&older, &pem.Block{Type: "CERTIFICATE", Bytes: c.Raw}) // a buffer takes every write
		}
	}
	revoked, err := a.revoked()
	if err != nil {
		return err
	}
	return a.renew(now, older.Bytes(), revoked)
}

// revoked reads the list of what was revoked.
func (a *Authority) revoked() ([]x509.RevocationListEntry, error) {
	ders, err := readPEM(filepath.Join(a.folder, crlFile), "X509 CRL")
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	list, err := x509.ParseRevocationList(ders[0])
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", crlFile, err)
	}
	return list.RevokedCertificateEntries, nil
}

func (a *Authority) writeCRL(now time.Time, entries []x509.RevocationListEntry) error {
	ca, key, err := a.signer()
	if err != nil {
		return err
	}
	der, err := x509.CreateRevocationList(rand.Reader, &x509.RevocationList{
		Number: big.NewInt(now.UnixNano()), ThisUpdate: now.Add(-clockSkew),
		NextUpdate: now.Add(crlLifetime), RevokedCertificateEntries: entries,
	}, ca, key)
	if err != nil {
		return err
	}
	return a.write(crlFile, pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}), 0o644)
}

// Revoke ends the certificate in a folder's NAME.pem.
func (a *Authority) Revoke(now time.Time, name string) error {
	certs, err := Certificates(filepath.Join(a.folder, filepath.Base(name)+".pem"))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	entries, err := a.revoked()
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.SerialNumber.Cmp(certs[0].SerialNumber) == 0 {
			return nil
		}
	}
	return a.writeCRL(now, append(entries, x509.RevocationListEntry{SerialNumber: certs[0].SerialNumber, RevocationTime: now}))
}
