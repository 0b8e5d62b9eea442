package sim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// faultKind is a kind of fault, with the ranges that its duration and size are drawn from.
type faultKind struct {
	name                     string
	targets                  string // one letter each for target and peer: s scheduler, n node, o client, l node list, t tenant
	minDuration, maxDuration float64
	minSize, maxSize         float64
	weight                   int // relative probability of the kind; kinds of weight 0 are drawn separately
}

// faultKinds lists all kinds of faults. The comment behind each says what the fault does.
var faultKinds = []faultKind{
	{"kill", "s", 100, 1500, 0, 0, 4},             // kill -9, and a restart
	{"kill-in", "s", 100, 1500, 1, 60, 4},         // kill -9 after a number of effects
	{"power", "s", 300, 2000, 0, 0, 2},            // a power loss
	{"pause", "s", 200, 2500, 0, 0, 3},            // SIGSTOP
	{"jump", "s", 0, 0, -5000, 5000, 1},           // the wall clock jumps by the size in ms
	{"panic", "s", 0, 0, 1, 40, 2},                // a shard panics after a number of effects
	{"shards", "s", 0, 0, 1, 3, 3},                // the number of shards changes
	{"reset", "sn", 0, 0, 0, 0, 5},                // connections are reset
	{"half", "sn", 0, 0, 0, 0, 3},                 // connections are reset, and the node is not notified
	{"cut", "sn", 50, 4000, 0, 0, 4},              // no data passes on the link
	{"refuse", "sn", 100, 3000, 0, 0, 2},          // connections are refused
	{"slow", "sn", 200, 3000, 20, 300, 3},         // the link's delay grows by up to the size in ms
	{"stall", "sn", 100, 2500, 0, 0, 2},           // the node does not read from the scheduler
	{"stall-back", "sn", 100, 2500, 0, 0, 2},      // the scheduler does not read from the node
	{"reset", "so", 0, 0, 0, 0, 2},                // a client's connection is reset
	{"stall-back", "so", 100, 3000, 0, 0, 1},      // a client does not read from the scheduler
	{"cut", "sl", 100, 5000, 0, 0, 2},             // no data passes between scheduler and node list
	{"list-away", "l", 300, 5000, 0, 0, 2},        // calls to the node list fail
	{"list-behind", "l", 500, 4000, 500, 3000, 2}, // the node list's delay grows by the size in ms
	{"hang", "n", 200, 4000, 0, 0, 3},             // a node accepts requests and sends no answers
	{"mute", "n", 300, 4000, 0.2, 1, 4},           // a fraction of a node's answers is lost
	{"errors", "n", 300, 4000, 0.2, 1, 2},         // a fraction of a job class's attempts fails with an error
	{"silence", "n", 300, 4000, 0.2, 1, 2},        // a fraction of a job class's attempts fails without an answer
	{"restart", "n", 10, 1500, 0, 0, 4},           // a node crashes and comes back cold, so that it has to warm up
	{"lost", "n", 3000, 8000, 0, 0, 1},            // the same for a longer time
	{"drain", "n", 500, 4000, 0, 0, 3},            // a node drains, one task at a time
	{"hall", "", 200, 3000, 0, 0, 1},              // all nodes of a zone crash and come back cold
	{"flood", "", 300, 1500, 2, 8, 2},             // the request rate is multiplied by the size
	{"withdraw", "o", 0, 0, 0.2, 1, 2},            // a client withdraws a fraction of its requests and tasks
	{"window", "n", 3000, 5000, 500, 2000, 2},     // a maintenance window with a lead of the size in ms
	{"deaf", "ss", 500, 8000, 0, 0, 0},            // the target receives no datagrams from the peer
	{"lossy", "ss", 500, 8000, 0.1, 0.6, 0},       // a fraction of these datagrams is lost
	{"tenant-pause", "t", 500, 5000, 0, 0, 0},     // a tenant is paused
	{"tenant-limit", "t", 0, 0, 1, 30, 0},         // a tenant's open allocations are limited to the size
	{"tenant-remove", "t", 0, 0, 0, 1, 0},         // a tenant is removed; with a size of 0.5 or more its tasks are stopped
}

// tenantFaultKinds is the number of kinds at the end of faultKinds that concern tenants.
const tenantFaultKinds = 3

// Draw generates a random script from a seed. A seed gives the same script in all versions of the program.
func Draw(seed uint64) Script {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	s := Script{
		Seed: seed, Nodes: 4 + rng.IntN(4), Schedulers: 1 + rng.IntN(2), Shards: 1 + rng.IntN(3), ListPolled: rng.IntN(2) == 0,
		ColdStart: rng.IntN(4) == 0, Rate: 15 + 25*rng.Float64(), Duration: 5000 + 4000*rng.Float64(),
		ConnectionSharing: []string{"shared", "shared", "own", "informed"}[rng.IntN(4)],
	}
	for range 2 + rng.IntN(9) {
		s.Faults = append(s.Faults, s.drawFault(rng))
	}
	s.addTenantFaults()
	s.addMembershipFaults()
	slices.SortStableFunc(s.Faults, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return s
}

// drawKind draws a random kind of fault, weighted by faultKind.weight.
func drawKind(rng *rand.Rand) faultKind {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	x := rng.IntN(total)
	for _, k := range faultKinds {
		if x -= k.weight; x < 0 {
			return k
		}
	}
	return faultKinds[len(faultKinds)-1]
}

func (s *Script) drawFault(rng *rand.Rand) Fault {
	k := drawKind(rng)
	f := Fault{
		At: float64(rng.IntN(int(s.Duration))), Kind: k.name,
		Duration: truncate(k.minDuration + (k.maxDuration-k.minDuration)*rng.Float64()*rng.Float64()),
		Size:     truncate(k.minSize + (k.maxSize-k.minSize)*rng.Float64()),
	}
	if k.maxSize <= 1 {
		f.Size = k.drawFraction(rng)
	}
	if len(k.targets) > 0 {
		f.Target = s.drawName(k.targets[0], rng)
	}
	if len(k.targets) > 1 {
		f.Peer = s.drawName(k.targets[1], rng)
	}
	return f
}

// drawFraction draws a random size, rounded down to a multiple of 0.01.
func (k *faultKind) drawFraction(rng *rand.Rand) float64 {
	return float64(int(100*(k.minSize+(k.maxSize-k.minSize)*rng.Float64()))) / 100
}

// drawName returns the name that a fault affects: a random scheduler, node or client, or the node list.
func (s *Script) drawName(letter byte, rng *rand.Rand) string {
	switch letter {
	case 's':
		return fmt.Sprint("s", rng.IntN(s.Schedulers))
	case 'n':
		return fmt.Sprint("n", 1+rng.IntN(s.Nodes))
	case 'o':
		return fmt.Sprint("o", rng.IntN(s.Schedulers*clientsPerScheduler))
	}
	return "list"
}

// addTenantFaults adds changes of tenants to a third of the scripts. It has a random source of its own, so that the other scripts stay as
// they were before tenants were added to the simulator.
func (s *Script) addTenantFaults() {
	rng := rand.New(rand.NewPCG(s.Seed, 0xc1b5))
	if s.DynamicTenants = rng.IntN(3) == 0; !s.DynamicTenants {
		return
	}
	kinds := faultKinds[len(faultKinds)-tenantFaultKinds:]
	for range 1 + rng.IntN(3) {
		k := kinds[rng.IntN(len(kinds))]
		s.Faults = append(s.Faults, Fault{
			At: float64(rng.IntN(int(s.Duration))), Kind: k.name, Target: tenantNames[rng.IntN(len(tenantNames))],
			Duration: truncate(k.minDuration + (k.maxDuration-k.minDuration)*rng.Float64()), Size: k.drawFraction(rng),
		})
	}
}

// addMembershipFaults turns a third of the scripts into ones with three schedulers that know each other, and adds faults of the network
// between them. It too has a random source of its own, so that the other scripts stay as they were.
func (s *Script) addMembershipFaults() {
	rng := rand.New(rand.NewPCG(s.Seed, 0x3e33))
	if s.Members = rng.IntN(3) == 0; !s.Members {
		return
	}
	s.Schedulers = 3
	for range rng.IntN(4) {
		a := rng.IntN(3)
		f := Fault{
			At: float64(rng.IntN(int(s.Duration))), Kind: "deaf", Target: fmt.Sprint("s", a), Peer: fmt.Sprint("s", (a+1+rng.IntN(2))%3),
			Duration: truncate(500 + 7500*rng.Float64()), Size: float64(int(60*rng.Float64())) / 100,
		}
		if rng.IntN(2) == 0 {
			f.Kind = "lossy"
		}
		s.Faults = append(s.Faults, f)
	}
	for range rng.IntN(2) {
		s.Faults = append(s.Faults, Fault{At: float64(rng.IntN(int(s.Duration))), Kind: "kill", Target: "s2", Duration: truncate(100 + 4000*rng.Float64())})
	}
}

func truncate(v float64) float64 { return float64(int(v)) }
