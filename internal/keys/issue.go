package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"ravenpond/internal/decide/access"
)

// Subject describes the server or the person that a certificate is issued for. A server has hosts, a person has a role.
type Subject struct {
	Name     string   // name of the server or person, and of the files without their suffixes
	Hosts    []string // host names and IP addresses of a server; empty for a person
	Role     access.Role
	Tenant   string // tenant of a role that is bound to a tenant
	Lifetime time.Duration
}

// check returns an error if no certificate can be issued for the subject.
func (s *Subject) check() error {
	switch {
	case s.Name == "" || s.Name != filepath.Base(s.Name) || s.Name == "ca" || s.Name == "crl" || s.Name[0] == '.':
		return fmt.Errorf("keys: invalid name %q: must be a file name without a path, must not begin with a dot, must not be ca or crl", s.Name)
	case s.Lifetime <= 0:
		return errors.New("keys: lifetime must be greater than 0")
	case len(s.Hosts) == 0 && s.Role == access.NoRole:
		return errors.New("keys: a person needs a role, a server needs hosts")
	case s.Role.IsTenantRole() != (s.Tenant != ""):
		return fmt.Errorf("keys: role %s: a tenant must be given for the roles of a tenant, and for no others", s.Role)
	}
	return nil
}

// template returns the subject's certificate without its serial number and signature.
func (s *Subject) template(now time.Time) *x509.Certificate {
	c := &x509.Certificate{
		Subject:   pkix.Name{CommonName: s.Name},
		NotBefore: now.Add(-clockSkew),
		NotAfter:  now.Add(s.Lifetime),
		KeyUsage:  x509.KeyUsageDigitalSignature,
	}
	if len(s.Hosts) == 0 {
		c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
		c.Subject.OrganizationalUnit = []string{s.Role.String()}
		if s.Tenant != "" {
			c.Subject.Organization = []string{s.Tenant}
		}
		return c
	}
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	for _, host := range s.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			c.IPAddresses = append(c.IPAddresses, ip)
		} else {
			c.DNSNames = append(c.DNSNames, host)
		}
	}
	return c
}

// Issue creates a key and a certificate for a subject and writes them to the folder. The certificate expires no later than the authority's
// own.
func (a *Authority) Issue(now time.Time, subject Subject) (*x509.Certificate, error) {
	if err := subject.check(); err != nil {
		return nil, err
	}
	authority, signer, err := a.signer()
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := subject.template(now)
	if authority.NotAfter.Before(template.NotAfter) {
		template.NotAfter = authority.NotAfter
	}
	if template.SerialNumber, err = newSerial(); err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, key.Public(), signer)
	if err != nil {
		return nil, err
	}
	if err := a.writeKey(subject.Name+keySuffix, key); err != nil {
		return nil, err
	}
	if err := a.write(subject.Name+certificateSuffix, encodePEM(blockCertificate, der), modePublic); err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// CallerOf returns the caller that a person's certificate identifies.
func CallerOf(c *x509.Certificate) (access.Caller, error) {
	subject := c.Subject
	if len(subject.OrganizationalUnit) != 1 {
		return access.Caller{}, errors.New("certificate must have exactly one role")
	}
	role, err := access.ParseRole(subject.OrganizationalUnit[0])
	if err != nil {
		return access.Caller{}, err
	}
	caller := access.Caller{Role: role, Name: subject.CommonName}
	if role.IsTenantRole() {
		if len(subject.Organization) != 1 {
			return access.Caller{}, errors.New("certificate of a tenant's role must have exactly one tenant")
		}
		caller.Tenant = subject.Organization[0]
	}
	return caller, nil
}
