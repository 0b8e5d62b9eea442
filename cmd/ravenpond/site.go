package main

import (
	"fmt"

	"ravenpond/internal/site"
)

// siteCommands check and print site files.
type siteCommands struct {
	Check   checkCommand   `cmd:"" help:"Check a site file and print all errors with their lines."`
	Schema  schemaCommand  `cmd:"" help:"Print the XML schema of site files."`
	Example exampleCommand `cmd:"" help:"Print an example of a site file."`
}

// checkCommand checks a site file.
type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Site file."`
}

// Run prints a summary of the file, or returns its errors.
func (c *checkCommand) Run() error {
	config, err := site.Load(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s: site %s, %d job classes, %d tenants, %d machine kinds: no errors\n", c.File, config.Name,
		len(config.JobClasses), len(config.Tenants), len(config.MachineKinds))
	return err
}

// schemaCommand prints the XML schema of site files.
type schemaCommand struct{}

// Run prints the schema.
func (schemaCommand) Run() error {
	_, err := fmt.Print(site.Schema)
	return err
}

// exampleCommand prints an example of a site file.
type exampleCommand struct{}

// Run prints the example.
func (exampleCommand) Run() error {
	_, err := fmt.Print(site.Example)
	return err
}
