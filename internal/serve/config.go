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

// Config configures a scheduler process. The fields up to Log are required.
type Config struct {
	Site   *site.Config
	Name   string // the name by which nodes and other schedulers know this one, the same at each start
	Index  int    // of this scheduler among those of the site, from 0
	Folder string // path of the state folder; not used if Disk is set
	Seed   uint64
	Log    zerolog.Logger

	// Zone is the zone in which the scheduler runs, one of the site file's; empty if it is unknown.
	Zone string
	// Ready, unless it is nil, is called once with the address of the client listener when clients may connect.
	Ready func(clients string)
	// Resize carries the wanted numbers of shards while Run runs.
	Resize <-chan int

	// Disk holds the state folder. If it is nil, the state folder is at the path Folder.
	Disk state.Disk
	// Maintenance opens the store of maintenance windows, the one in Folder if it is nil. It may return no store.
	Maintenance func() (MaintenanceStore, error)
	// VoterDisk opens the persistent state of a voter of the replicated cluster state, the one in Folder if it is nil.
	VoterDisk func() (control.Storage, error)
	// Tenants opens the store of hosted tenants, the one in Folder if it is nil.
	Tenants func() (TenantStore, error)

	// Connect makes a connection to a node or to the list server for Run, over TCP if it is nil.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// TLS is the TLS configuration of the client listener, which uses no TLS if it is nil.
	TLS *tls.Config
	// MemberKey is the key that signs the datagrams between schedulers. If it is nil, it is read from the site file's key file.
	MemberKey []byte

	// Policy replaces the policy module unless it is nil. Comparisons of policies use it.
	Policy engine.PolicyFactory
	// FreeMemory, unless it is nil, is called some time after the visits to nodes at the start, which use much memory.
	FreeMemory func()
	// OnLocalListener, unless it is nil, is called once with a listener that connects clients without a socket.
	OnLocalListener func(*LocalListener)
	// Faults are the faults that tests inject into the scheduler.
	Faults Faults
}

// Faults are faults that tests and experiments inject to check that they are detected. The zero value injects none.
type Faults struct {
	WrapEffects    func(engine.Effects) engine.Effects // wraps the effects of each incarnation of each shard
	ListEntry      func(*state.Entry)                  // modifies entries of the endpoint list
	PermitAnyEpoch bool                                // the router permits attempts of any epoch
	RepeatAnswers  bool                                // each answer is sent to its client twice

	WrapMaintenance func(maintenance.Executor) maintenance.Executor // wraps the executor of maintenance windows

	WorkingSet   workingset.Faults
	AbandonTasks bool // nodes that leave the working set are disconnected even if tasks run there
	SkipVisits   bool // nodes outside the working set are not visited at the start
}

// withDefaults returns the configuration with the maintenance store of the state folder if it names none.
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

// openFolder opens and locks the state folder, so that no other process can use it at the same time.
func (c Config) openFolder() (*state.Folder, error) {
	if c.Disk != nil {
		return state.NewFolder(c.Disk), nil
	}
	return state.Open(c.Folder)
}
