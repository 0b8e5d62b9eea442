package main

import (
	"os"

	"ravenpond/internal/platform"
)

// platformCommand runs a scheduler on the platform. Its configuration comes from environment variables.
type platformCommand struct {
	Log   string `enum:"json,plain" default:"json" help:"Format of the log: json or plain."`
	Level string `enum:"debug,info,warn" default:"info" help:"Minimum level of the log; debug logs each message and attempt."`
}

// Run runs the scheduler until SIGTERM.
func (c *platformCommand) Run() error {
	log, err := newLogger(c.Log, c.Level, os.Stderr)
	if err != nil {
		return err
	}
	return platform.Run(log)
}
