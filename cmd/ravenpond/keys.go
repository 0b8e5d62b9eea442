package main

import (
	"fmt"
	"time"

	"ravenpond/internal/decide/access"
	"ravenpond/internal/keys"
)

// keysCommands see to the authority of the administration.
type keysCommands struct {
	Init   keysInit   `cmd:"" help:"Make an authority in a folder."`
	Issue  keysIssue  `cmd:"" help:"Issue a certificate for a server or a person; one of the same name is replaced."`
	Rotate keysRotate `cmd:"" help:"Give the authority a new key; what the old one signed stays good until it expires."`
	Revoke keysRevoke `cmd:"" help:"Revoke a certificate: its connections end within seconds."`
}

type keysFolder struct {
	Folder string `name:"keys" required:"" type:"path" help:"Folder of keys."`
}

type keysInit struct{ keysFolder }

func (c *keysInit) Run() error {
	_, err := keys.Init(c.Folder, time.Now())
	return err
}

type keysIssue struct {
	keysFolder
	Name     string        `arg:"" help:"Name of the files, and of whom it is for."`
	Hosts    []string      `name:"host" help:"Names and addresses of a server."`
	Role     string        `help:"Role of a person: operator, reader, tenant-admin or tenant-reader."`
	Tenant   string        `help:"The tenant of the last two."`
	Lifetime time.Duration `name:"last" default:"168h" help:"How long it is good."`
}

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
		fmt.Printf("%s.pem: good until %s\n", c.Name, cert.NotAfter.UTC().Format(time.RFC3339))
	}
	return err
}

type keysRotate struct{ keysFolder }

func (c *keysRotate) Run() error {
	ca, err := keys.Open(c.Folder)
	if err != nil {
		return err
	}
	return ca.Rotate(time.Now())
}

type keysRevoke struct {
	keysFolder
	Name string `arg:"" help:"Name of the certificate's file."`
}

func (c *keysRevoke) Run() error {
	ca, err := keys.Open(c.Folder)
	if err != nil {
		return err
	}
	return ca.Revoke(time.Now(), c.Name)
}
