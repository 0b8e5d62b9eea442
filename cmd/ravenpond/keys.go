package main

import (
	"fmt"
	"time"

	"ravenpond/internal/decide/access"
	"ravenpond/internal/keys"
)

// keysCommands manage the certificate authority of the administration API.
type keysCommands struct {
	Init   keysInit   `cmd:"" help:"Create a certificate authority in a folder."`
	Issue  keysIssue  `cmd:"" help:"Issue a certificate for a server or a person; replaces an earlier one with the same name."`
	Rotate keysRotate `cmd:"" help:"Give the authority a new key; certificates signed with the old key stay valid until they expire."`
	Revoke keysRevoke `cmd:"" help:"Revoke a certificate; connections that use it are closed within seconds."`
}

// keysFolder names the folder of the authority.
type keysFolder struct {
	Folder string `name:"keys" required:"" type:"path" help:"Folder of the certificate authority."`
}

// keysInit creates an authority.
type keysInit struct{ keysFolder }

// Run creates the authority in the folder.
func (c *keysInit) Run() error {
	_, err := keys.Init(c.Folder, time.Now())
	return err
}

// keysIssue issues a certificate.
type keysIssue struct {
	keysFolder
	Name     string        `arg:"" help:"Name of the server or person, and of its files."`
	Hosts    []string      `name:"host" help:"Host names and IP addresses of a server."`
	Role     string        `help:"Role of a person: operator, reader, tenant-admin or tenant-reader."`
	Tenant   string        `help:"Tenant of a tenant-admin or tenant-reader."`
	Lifetime time.Duration `name:"last" default:"168h" help:"Time for which the certificate is valid."`
}

// Run issues the certificate, writes its files and prints when it expires.
func (c *keysIssue) Run() error {
	ca, err := keys.Open(c.Folder)
	if err != nil {
		return err
	}
	subject := keys.Subject{Name: c.Name, Hosts: c.Hosts, Tenant: c.Tenant, Lifetime: c.Lifetime}
	if c.Role != "" {
		if subject.Role, err = access.ParseRole(c.Role); err != nil {
			return err
		}
	}
	cert, err := ca.Issue(time.Now(), subject)
	if err == nil {
		fmt.Printf("%s.pem: valid until %s\n", c.Name, cert.NotAfter.UTC().Format(time.RFC3339))
	}
	return err
}

// keysRotate replaces the key of the authority.
type keysRotate struct{ keysFolder }

// Run replaces the key.
func (c *keysRotate) Run() error {
	ca, err := keys.Open(c.Folder)
	if err != nil {
		return err
	}
	return ca.Rotate(time.Now())
}

// keysRevoke revokes a certificate.
type keysRevoke struct {
	keysFolder
	Name string `arg:"" help:"Name of the certificate's file."`
}

// Run revokes the certificate.
func (c *keysRevoke) Run() error {
	ca, err := keys.Open(c.Folder)
	if err != nil {
		return err
	}
	return ca.Revoke(time.Now(), c.Name)
}
