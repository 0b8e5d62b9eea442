package serve

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/workingset"
	"ravenpond/internal/engine"
	"ravenpond/internal/maintenance"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/internal/state/maintenancestore"
)

// Config says which scheduler to run, and on what. The fields up to Log are required.
type Config struct {
	Site   *site.Config
	Name   string // by which nodes and other schedulers know it, the same at each start
	Index  int    // among all schedulers of the site, from 0
	Folder string // the state folder, unused with Disk
	Seed   uint64
	Log    zerolog.Logger

	// Zone is one of the site file's, where the scheduler runs; empty: unknown.
	Zone string
	// Ready is called once, with the address of the client listener, when clients may connect.
	Ready func(clients string)
	// Resize takes wanted numbers of shards while Run runs.
	Resize <-chan int

	// Disk is where the state folder is, Folder if it is nil.
	Disk state.Disk
	// Maintenance opens the maintenance windows, those in Folder if it is nil. It may return none.
	Maintenance func() (MaintenanceStore, error)
	// VoterDisk opens what a voter of the replicated cluster state must not forget, that in Folder if it is nil.
	VoterDisk func() (control.Storage, error)
	// Tenants opens the store of hosted tenants, that in Folder if it is nil.
	Tenants func() (TenantStore, error)

	// Connect connects Run to a node or to the list server, over TCP if it is nil.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// TLS is the TLS configuration of the client listener, none if it is nil.
	TLS *tls.Config
	// MemberKey signs the datagrams between schedulers. If it is nil, the site file's key file has it.
	MemberKey []byte

	// Policy is used in place of the policy module if it is not nil, for comparisons.
	Policy engine.PolicyFactory
	// FreeMemory is called, unless it is nil, some time after the start's visits of nodes, which take much memory.
	FreeMemory func()
	// OnLocalListener is called once, unless it is nil, with a way to connect clients without a socket.
	OnLocalListener func(*LocalListener)
	// Faults are injected into the scheduler by tests.
	Faults Faults
}

// Faults are faults that tests and experiments inject to see that they are found. The zero value injects none.
type Faults struct {
	WrapEffects    func(engine.Effects) engine.Effects // wraps the effects of each incarnation of each shard
	ListEntry      func(*state.Entry)                  // changes entries of the endpoint list
	PermitAnyEpoch bool                                // attempts are permitted whatever their epoch
	RepeatAnswers  bool                                // clients are sent each answer twice

	WrapMaintenance func(maintenance.Executor) maintenance.Executor // wraps what carries out maintenance windows

	WorkingSet   workingset.Faults
	AbandonTasks bool // nodes that leave the working set are disconnected, whatever runs there
	SkipVisits   bool // nodes outside the working set are not visited at the start
}

// withDefaults returns the configuration with what is in the state folder in place of stores that it does not name.
func (c Config) withDefaults() Config {
	if c.Maintenance == nil {
		folder := c.Folder
		c.Maintenance = func() (MaintenanceStore, error) {
			if !maintenancestore.Exists(folder) {
				return nil, nil
			}
			return maintenancestore.Open(folder)
		}
	}
	return c
}

// openFolder opens the state folder, which no other process may use meanwhile.
func (c Config) openFolder() (*state.Folder, error) {
	if c.Disk != nil {
		return state.NewFolder(c.Disk), nil
	}
	return state.Open(c.Folder)
}
