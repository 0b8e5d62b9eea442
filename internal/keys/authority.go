package keys

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityLifetime = 5 * 365 * 24 * time.Hour
	crlLifetime       = 365 * 24 * time.Hour
	clockSkew         = 5 * time.Minute // maximum tolerated difference between clocks
	serialBits        = 120
)

// Authority is a certificate authority whose key and certificates are in a folder.
type Authority struct{ folder string }

// Init creates an authority in a folder that has none.
func Init(folder string, now time.Time) (*Authority, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if _, err := os.Stat(filepath.Join(folder, caKeyFile)); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("keys: %s already contains an authority (or cannot be read: %v)", folder, err) //nolint:errorlint // err is nil if there is one
	}
	a := &Authority{folder}
	return a, a.renew(now, nil, nil)
}

// Open opens the authority in a folder.
func Open(folder string) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(folder, caKeyFile)); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return &Authority{folder}, nil
}

// renew creates a key and a self-signed certificate for the authority. The certificate is trusted in addition to the older ones. It is
// written before the key: a process that is killed in between leaves the old key, whose certificate is still trusted.
func (a *Authority) renew(now time.Time, older []byte, revoked []x509.RevocationListEntry) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial, err := newSerial()
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "ravenpond authority " + now.UTC().Format(time.DateOnly)},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return err
	}
	if err := a.write(caFile, append(encodePEM(blockCertificate, der), older...), modePublic); err != nil {
		return err
	}
	if err := a.writeKey(caKeyFile, key); err != nil {
		return err
	}
	return a.writeRevoked(now, revoked)
}

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

// signer returns the authority's key and the certificate that matches it. If the process was killed during a rotation, this may not be the
// newest certificate.
func (a *Authority) signer() (*x509.Certificate, crypto.Signer, error) {
	blocks, err := readPEM(filepath.Join(a.folder, caKeyFile), blockKey)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(blocks[0])
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", caKeyFile, err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("%s: not an ECDSA key", caKeyFile)
	}
	authorities, err := a.certificates()
	if err != nil {
		return nil, nil, err
	}
	for _, c := range authorities {
		if key.PublicKey.Equal(c.PublicKey) {
			return c, key, nil
		}
	}
	return nil, nil, fmt.Errorf("%s: none of %d certificates matches the key in %s", caFile, len(authorities), caKeyFile)
}

// certificates returns the trusted certificates of the authority.
func (a *Authority) certificates() ([]*x509.Certificate, error) {
	return Certificates(filepath.Join(a.folder, caFile))
}

// Rotate creates a new key for the authority. Certificates that the old key signed stay valid until they expire, because the old certificate
// of the authority is still trusted; expired certificates of the authority are removed.
func (a *Authority) Rotate(now time.Time) error {
	authorities, err := a.certificates()
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	var older bytes.Buffer
	for _, c := range authorities {
		if now.Before(c.NotAfter) {
			older.Write(encodePEM(blockCertificate, c.Raw))
		}
	}
	revoked, err := a.readRevoked()
	if err != nil {
		return err
	}
	return a.renew(now, older.Bytes(), revoked)
}

// Revoke revokes the certificate that was issued last for a name. It does nothing if that is revoked already.
func (a *Authority) Revoke(now time.Time, name string) error {
	issued, err := Certificates(filepath.Join(a.folder, filepath.Base(name)+certificateSuffix))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	revoked, err := a.readRevoked()
	if err != nil {
		return err
	}
	serial := issued[0].SerialNumber
	for _, entry := range revoked {
		if entry.SerialNumber.Cmp(serial) == 0 {
			return nil
		}
	}
	return a.writeRevoked(now, append(revoked, x509.RevocationListEntry{SerialNumber: serial, RevocationTime: now}))
}

// readRevoked returns the entries of the revocation list.
func (a *Authority) readRevoked() ([]x509.RevocationListEntry, error) {
	list, err := readRevocationList(a.folder)
	if err != nil {
		return nil, err
	}
	return list.RevokedCertificateEntries, nil
}

// writeRevoked signs and writes the revocation list.
func (a *Authority) writeRevoked(now time.Time, entries []x509.RevocationListEntry) error {
	authority, key, err := a.signer()
	if err != nil {
		return err
	}
	template := &x509.RevocationList{
		Number:                    big.NewInt(now.UnixNano()),
		ThisUpdate:                now.Add(-clockSkew),
		NextUpdate:                now.Add(crlLifetime),
		RevokedCertificateEntries: entries,
	}
	der, err := x509.CreateRevocationList(rand.Reader, template, authority, key)
	if err != nil {
		return err
	}
	return a.write(crlFile, encodePEM(blockCRL, der), modePublic)
}

func readRevocationList(folder string) (*x509.RevocationList, error) {
	blocks, err := readPEM(filepath.Join(folder, crlFile), blockCRL)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	list, err := x509.ParseRevocationList(blocks[0])
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", crlFile, err)
	}
	return list, nil
}
