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

// Subject is who a certificate is for: a server, which has hosts, or a person, who has a role.
type Subject struct {
	Name     string   // of the files, and of the server or person
	Hosts    []string // names and IP addresses of a server; none: a person
	Role     access.Role
	Tenant   string // of a role that is bound to a tenant
	Lifetime time.Duration
}

// check returns an error if no certificate can be issued for a subject.
func (s *Subject) check() error {
	switch {
	case s.Name == "" || s.Name != filepath.Base(s.Name) || s.Name == "ca" || s.Name == "crl" || s.Name[0] == '.':
		return fmt.Errorf("keys: name %q: a plain word is expected, not ca or crl", s.Name)
	case s.Lifetime <= 0:
		return errors.New("keys: a time above 0 is expected")
	case len(s.Hosts) == 0 && s.Role == access.NoRole:
		return errors.New("keys: a person has a role, a server has hosts")
	case s.Role.IsTenantRole() != (s.Tenant != ""):
		return fmt.Errorf("keys: role %s: a tenant stands where the role is one tenant's, and only there", s.Role)
	}
	return nil
}

// template is the subject's certificate before it is signed.
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

// Issue makes a key and a certificate for a subject and writes them into the folder. The certificate ends with the authority's own at
// the latest.
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

// CallerOf is the caller that a person's certificate names.
func CallerOf(c *x509.Certificate) (access.Caller, error) {
	subject := c.Subject
	if len(subject.OrganizationalUnit) != 1 {
		return access.Caller{}, errors.New("certificate without a role")
	}
	role, err := access.ParseRole(subject.OrganizationalUnit[0])
	if err != nil {
		return access.Caller{}, err
	}
	caller := access.Caller{Role: role, Name: subject.CommonName}
	if role.IsTenantRole() {
		if len(subject.Organization) != 1 {
			return access.Caller{}, errors.New("certificate without a tenant")
		}
		caller.Tenant = subject.Organization[0]
	}
	return caller, nil
}
