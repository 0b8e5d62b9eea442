package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"ravenpond/internal/settings"
)

// Configuration is what the platform tells a scheduler of its place.
type Configuration struct {
	Name, Listen, Journal string
	Seed                  uint64
	Cores                 float64
	MemoryMB, Sockets     int
	Deployment            *settings.Deployment
	InitialEvents         []byte // the journal's, up to now
}

// Load reads it from a file. What stands in the environment beside it, name and address, counts before the file's.
func Load(file, name, listen string) (*Configuration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Read(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", file, err)
	}
	if name != "" {
		c.Name = name
	}
	if listen != "" {
		c.Listen = listen
	}
	return c, nil
}

// Bounds of the limits that a scheduler can keep: below them there is no room for a client, a node and the journal service.
const (
	minMemoryMB, maxMemoryMB = 8, 1 << 20
	minSockets, maxSockets   = 32, 1 << 24
)

// Read reads it from its text.
func Read(text []byte) (*Configuration, error) {
	var f struct {
		Name, Listen, Seed, Journal string
		Limits                      struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	for _, a := range []struct{ what, address string }{{"listen", f.Listen}, {"journal", f.Journal}} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return nil, fmt.Errorf("%s: %w", a.what, err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if f.Limits.MemoryMB < minMemoryMB || f.Limits.MemoryMB > maxMemoryMB || f.Limits.Sockets < minSockets || f.Limits.Sockets > maxSockets {
		return nil, fmt.Errorf("limits: %d MB of memory (memory_mb, from %d to %d), %d sockets (from %d to %d)", f.Limits.MemoryMB, minMemoryMB, maxMemoryMB,
			f.Limits.Sockets, minSockets, maxSockets)
	}
	if len(f.Known) == 0 || len(f.Settings) == 0 {
		return nil, fmt.Errorf("known: %d bytes, settings: %d bytes: both are needed", len(f.Known), len(f.Settings))
	}
	known, err := settings.Read(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := known.ValidateForSockets(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Configuration{
		Name: f.Name, Listen: f.Listen, Journal: f.Journal, Seed: seed, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Deployment: known, InitialEvents: f.Known,
	}, nil
}
