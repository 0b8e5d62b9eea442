package main

import (
	"os"

	"ravenpond/internal/platform"
)

type platformCommand struct {
	Log   string `enum:"json,plain" default:"json" help:"Form of the log: json or plain."`
	Level string `enum:"debug,info,warn" default:"info" help:"debug traces each message and try."`
}

func (c *platformCommand) Run() error {
	log, err := newLogger(c.Log, c.Level, os.Stderr)
	if err != nil {
		return err
	}
	return platform.Run(log)
}
