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
	clockSkew         = 5 * time.Minute // by which clocks may differ
	serialBits        = 120
)

// Authority is a folder with the authority's key.
type Authority struct{ folder string }

// Init makes an authority in a folder that has none.
func Init(folder string, now time.Time) (*Authority, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if _, err := os.Stat(filepath.Join(folder, caKeyFile)); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("keys: %s has an authority already (or: %v)", folder, err) //nolint:errorlint // err is nil if there is one
	}
	a := &Authority{folder}
	return a, a.renew(now, nil, nil)
}

// Open opens the authority of a folder.
func Open(folder string) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(folder, caKeyFile)); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return &Authority{folder}, nil
}

// renew makes a key and a certificate for the authority itself, which is trusted beside the older certificates. The certificate is
// written before the key: a process that is killed between leaves the old key, whose old certificate is still trusted.
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

// signer returns the authority's key and the certificate that belongs to it. After a rotation that was killed halfway that may not
// be the newest one.
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
		return nil, nil, fmt.Errorf("%s: an ECDSA key is expected", caKeyFile)
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
	return nil, nil, fmt.Errorf("%s: none of %d certificates goes with %s", caFile, len(authorities), caKeyFile)
}

// certificates are the trusted certificates of the authority.
func (a *Authority) certificates() ([]*x509.Certificate, error) {
	return Certificates(filepath.Join(a.folder, caFile))
}

// Rotate makes a new key for the authority. What the old key signed stays good until it expires, as its certificate is still
// trusted; expired certificates of the authority are dropped.
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

// Revoke ends the certificate that was issued last for a name.
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

// readRevoked reads the entries of the revocation list.
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
