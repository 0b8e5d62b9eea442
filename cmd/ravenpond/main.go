// Ravenpond is a scheduler that places long-running work on a cluster's machines. Run it with --help for its commands.
//
// Each command is a struct whose fields are its flags (github.com/alecthomas/kong). Its Run method checks the flags and calls the package
// that does the work. Run gets a context that ends on SIGINT or SIGTERM. An error is printed as one line, and the exit status is 1.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"ravenpond/internal/lab/drill"
)

// commands are the commands of the program, as kong parses them.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run a scheduler."`
	Platform platformCommand `cmd:"" help:"Run a scheduler on the platform, configured by the environment variables GW_CONFIG, GW_NAME and GW_LISTEN."`
	Site     siteCommands    `cmd:"" help:"Check and print site files."`
	Drain    drainCommands   `cmd:"" help:"Manage maintenance windows."`
	Tenant   tenantCommands  `cmd:"" help:"Manage the tenants of a hosted service in a state folder."`
	Admin    adminCommands   `cmd:"" help:"Manage the tenants of a hosted service through the administration API of a running scheduler."`
	Keys     keysCommands    `cmd:"" help:"Manage the certificate authority and the certificates of the administration API."`
	Drill    drillCommand    `cmd:"" help:"Run a script of faults with real processes on loopback and check the rules."`
	Members  membersCommand  `cmd:"" help:"Print which other schedulers a scheduler knows, and their states."`
	Lab      labCommands     `cmd:"" help:"Run measurements and simulations."`
}

func main() {
	var c commands
	ctx, stop := drill.Interrupted()
	defer stop()
	k := kong.Parse(&c, kong.Name("ravenpond"), kong.Description("A scheduler for long-running work."),
		kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := k.Run(); err != nil {
		stop()
		fmt.Fprintln(os.Stderr, "ravenpond:", err)
		os.Exit(1)
	}
}
