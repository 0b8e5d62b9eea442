package keys

import (
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// File names and suffixes in a folder.
const (
	caFile    = "ca.pem"
	caKeyFile = "ca.key"
	crlFile   = "crl.pem"

	certificateSuffix = ".pem"
	keySuffix         = ".key"
)

// Types of PEM blocks.
const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
	blockCRL         = "X509 CRL"
)

// File modes.
const (
	modePublic  os.FileMode = 0o644
	modePrivate os.FileMode = 0o600
)

// Certificates returns all certificates in a PEM file.
func Certificates(path string) ([]*x509.Certificate, error) {
	blocks, err := readPEM(path, blockCertificate)
	if err != nil {
		return nil, err
	}
	var certificates []*x509.Certificate
	for _, der := range blocks {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		certificates = append(certificates, c)
	}
	return certificates, nil
}

// readPEM returns the contents of all blocks of a type in a file. It returns an error if there is none.
func readPEM(path, blockType string) (blocks [][]byte, err error) {
	rest, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type == blockType {
			blocks = append(blocks, block.Bytes)
		}
	}
	if len(blocks) == 0 {
		return nil, fmt.Errorf("%s: no PEM block of type %s", path, blockType)
	}
	return blocks, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// write atomically replaces a file in the folder.
func (a *Authority) write(name string, b []byte, mode os.FileMode) error {
	return renameio.WriteFile(filepath.Join(a.folder, name), b, mode)
}

func (a *Authority) writeKey(name string, key crypto.Signer) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return a.write(name, encodePEM(blockKey, der), modePrivate)
}

// loadIdentity reads the certificate and key with a name from a folder, and the certificates of the trusted authorities.
func loadIdentity(folder, name string) (identity tls.Certificate, authorities []*x509.Certificate, err error) {
	base := filepath.Join(folder, name)
	identity, err = tls.LoadX509KeyPair(base+certificateSuffix, base+keySuffix)
	if err != nil {
		return tls.Certificate{}, nil, fmt.Errorf("keys: %w", err)
	}
	authorities, err = Certificates(filepath.Join(folder, caFile))
	if err != nil {
		return tls.Certificate{}, nil, fmt.Errorf("keys: %w", err)
	}
	return identity, authorities, nil
}

func newCertPool(certificates []*x509.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, c := range certificates {
		pool.AddCert(c)
	}
	return pool
}
