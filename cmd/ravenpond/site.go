package main

import (
	"fmt"

	"ravenpond/internal/site"
)

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"The site file."`
}

func (c *checkCommand) Run() error {
	place, err := site.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: site %s, %d job types, %d tenants, %d machine kinds: no faults\n", c.File, place.Name,
		len(place.JobClasses), len(place.Tenants), len(place.MachineKinds))
	return nil
}

type schemaCommand struct{}

func (schemaCommand) Run() error { fmt.Print(site.Schema); return nil }

type exampleCommand struct{}

func (exampleCommand) Run() error { fmt.Print(site.Example); return nil }

// siteCommands check and print site files.
type siteCommands struct {
	Check   checkCommand   `cmd:"" help:"Print every fault of a site file, with its line."`
	Schema  schemaCommand  `cmd:"" help:"Print the XML schema of site files."`
	Example exampleCommand `cmd:"" help:"Print a site file to start from."`
}
