package main

import (
	"fmt"

	"ravenpond/internal/site"
)

// siteCommands check and print site files.
type siteCommands struct {
	Check   checkCommand   `cmd:"" help:"Print every fault of a site file, with its line."`
	Schema  schemaCommand  `cmd:"" help:"Print the XML schema of site files."`
	Example exampleCommand `cmd:"" help:"Print a site file to start from."`
}

// checkCommand checks a site file.
type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"The site file."`
}

// Run prints what the file describes; its faults are the error.
func (c *checkCommand) Run() error {
	config, err := site.Load(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s: site %s, %d job types, %d tenants, %d machine kinds: no faults\n", c.File, config.Name,
		len(config.JobClasses), len(config.Tenants), len(config.MachineKinds))
	return err
}

// schemaCommand prints the XML schema of site files.
type schemaCommand struct{}

// Run prints it.
func (schemaCommand) Run() error {
	_, err := fmt.Print(site.Schema)
	return err
}

// exampleCommand prints a site file to start from.
type exampleCommand struct{}

// Run prints it.
func (exampleCommand) Run() error {
	_, err := fmt.Print(site.Example)
	return err
}
