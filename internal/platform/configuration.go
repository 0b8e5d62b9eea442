package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"ravenpond/internal/settings"
)

// Configuration is the configuration that the platform passes to a scheduler when it starts it.
type Configuration struct {
	Name              string
	Listen            string // address for clients
	Journal           string // address of the journal service
	Seed              uint64 // of the module's random number generator
	Cores             float64
	MemoryMB, Sockets int // limits of the process
	Deployment        *settings.Deployment
	InitialEvents     []byte // the journal's events before the start, as JSON
}

// configurationSource says where a configuration is read from, and what overrides it.
type configurationSource struct {
	File   string
	Name   string // it replaces the file's name if not empty
	Listen string // it replaces the file's address if not empty
}

// load reads the configuration.
func (s configurationSource) load() (*Configuration, error) { return Load(s.File, s.Name, s.Listen) }

// Load reads a configuration from a file. A name and a listen address that are not empty replace those of the file.
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

// Bounds of the limits in a configuration. Below the lower ones there is no room for a client, a node and the journal service.
const (
	minMemoryMB, maxMemoryMB = 8, 1 << 20
	minSockets, maxSockets   = 32, 1 << 24
)

// limits are the limits of the process in a configuration file.
type limits struct {
	Cores    float64
	MemoryMB int `json:"memory_mb"`
	Sockets  int
}

// check returns an error if a limit is out of bounds.
func (l limits) check() error {
	if l.MemoryMB < minMemoryMB || l.MemoryMB > maxMemoryMB || l.Sockets < minSockets || l.Sockets > maxSockets {
		return fmt.Errorf("limits: %d MB of memory (memory_mb, from %d to %d), %d sockets (from %d to %d)", l.MemoryMB, minMemoryMB, maxMemoryMB,
			l.Sockets, minSockets, maxSockets)
	}
	return nil
}

// Read reads a configuration from its JSON text. An error names the field at fault.
func Read(text []byte) (*Configuration, error) {
	var f struct {
		Name, Listen, Seed, Journal string
		Limits                      limits
		Known                       json.RawMessage
		Settings                    json.RawMessage
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	for _, field := range []struct{ name, address string }{{"listen", f.Listen}, {"journal", f.Journal}} {
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			return nil, fmt.Errorf("%s: %w", field.name, err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if err := f.Limits.check(); err != nil {
		return nil, err
	}
	if len(f.Known) == 0 || len(f.Settings) == 0 {
		return nil, fmt.Errorf("known has %d bytes, settings %d bytes: both fields are required", len(f.Known), len(f.Settings))
	}
	deployment, err := settings.Read(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := deployment.ValidateForSockets(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Configuration{
		Name: f.Name, Listen: f.Listen, Journal: f.Journal, Seed: seed, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Deployment: deployment, InitialEvents: f.Known,
	}, nil
}
