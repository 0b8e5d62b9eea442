package scale

import (
	"fmt"
	"os"
	"strings"

	"github.com/google/pprof/profile"

	"ravenpond/internal/lab/scale/result"
)

// Parts of the program in profiles.
const (
	partMembers  = "members"
	partControl  = "control"
	partList     = "list"
	partZones    = "zones"
	partLinks    = "links"
	partClients  = "client listener"
	partEngine   = "engine"
	partLogic    = "logic"
	partRouter   = "shard router"
	partCounts   = "counts"
	partSockets  = "sockets"
	partRuntime  = "runtime"
	partElse     = "else"
	moduleMarker = "ravenpond/"
)

// rule gives the frames of a function whose name or file has a text to a part.
type rule struct{ text, part string }

// rules are tried in their order on each frame, from the innermost out; the first that fits a frame has the sample. What is
// below them (sockets, the runtime) belongs to who called it.
var rules = []rule{
	{"ravenpond/internal/decide/membership", partMembers},
	{"ravenpond/internal/proto/members", partMembers},
	{"ravenpond/internal/members", partMembers},
	{"ravenpond/internal/decide/slowstart", partMembers},
	{"ravenpond/internal/decide/gossip", partMembers},
	{"ravenpond/internal/decide/reachability", partMembers},
	{"ravenpond/internal/decide/quotalease", partMembers},
	{"internal/serve/membership", partMembers},
	{"ravenpond/internal/decide/consensus", partControl},
	{"ravenpond/internal/decide/clusterstate", partControl},
	{"ravenpond/internal/control", partControl},
	{"ravenpond/internal/proto/clusterstate", partControl},
	{"go.etcd.io/raft", partControl},
	{"internal/serve/cluster_state", partControl},
	{"ravenpond/internal/decide/zones", partZones},
	{"internal/serve/zones.go", partZones},
	{"internal/serve/list", partList},
	{"internal/serve/endpoint_list", partList},
	{"ravenpond/internal/proto/list", partList},
	{"ravenpond/internal/state.", partList},
	{"internal/state/nodelist.go", partList},
	{"internal/serve/link.go", partLinks},
	{"internal/serve/node_connections", partLinks},
	{"ravenpond/internal/proto/node", partLinks},
	{"ravenpond/logic", partLogic},
	{"ravenpond/internal/engine", partEngine},
	{"ravenpond/internal/decide/shardrouter", partRouter},
	{"ravenpond/internal/decide/shardownership", partRouter},
	{"ravenpond/internal/decide/shardplacement", partRouter},
	{"internal/serve/client", partClients},
	{"ravenpond/internal/proto/client", partClients},
	{"internal/serve/metrics", partCounts},
	{"prometheus", partCounts},
}

// fallbackRules are the parts of samples that no rule has.
var fallbackRules = []rule{{"ravenpond/internal/env", partSockets}, {moduleMarker, partElse}}

// componentOf is the part of the program that a sample belongs to.
func componentOf(s *profile.Sample) string {
	if part := match(s, rules); part != "" {
		return part
	}
	if part := match(s, fallbackRules); part != "" {
		return part
	}
	return partRuntime
}

func match(s *profile.Sample, rules []rule) string {
	for _, location := range s.Location {
		for _, line := range location.Line {
			if line.Function == nil {
				continue
			}
			for _, r := range rules {
				if strings.Contains(line.Function.Name, r.text) || strings.Contains(line.Function.Filename, r.text) {
					return r.part
				}
			}
		}
	}
	return ""
}

// byComponent sums up a value of a profile's samples by part of the program.
func byComponent(path, value string) (map[string]float64, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p, err := profile.Parse(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	at := -1
	for i, kind := range p.SampleType {
		if kind.Type == value {
			at = i
		}
	}
	if at < 0 {
		return nil, fmt.Errorf("%s: no %s in it", path, value)
	}
	sum := map[string]float64{}
	for _, s := range p.Sample {
		sum[componentOf(s)] += float64(s.Value[at])
	}
	return sum, nil
}

// profiled are the readings of a window's profiles: CPU by part, and the heap in use by who allocated it.
func profiled(path string, seconds float64) ([]result.Reading, error) {
	cpu, err := byComponent(path, "cpu")
	if err != nil {
		return nil, err
	}
	heap, err := byComponent(path+heapSuffix, "inuse_space")
	if err != nil {
		return nil, err
	}
	var readings []result.Reading
	for _, part := range sorted(cpu) {
		readings = append(readings, result.Reading{Part: part, Name: "cpu", Unit: result.Cores, Value: cpu[part] / 1e9 / seconds})
	}
	for _, part := range sorted(heap) {
		readings = append(readings, result.Reading{Part: part, Name: "heap", Unit: result.Bytes, Value: heap[part]})
	}
	return readings, nil
}

// heapSuffix is what serve adds to the path of a CPU profile for the heap's.
const heapSuffix = ".heap"
