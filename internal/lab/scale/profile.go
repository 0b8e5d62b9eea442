package scale

import (
	"fmt"
	"os"
	"strings"

	"github.com/google/pprof/profile"

	"ravenpond/internal/lab/scale/result"
)

// Names of the parts of the program in readings of profiles, and the prefix of this module's packages.
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
	partMetrics  = "counts"
	partSockets  = "sockets"
	partRuntime  = "runtime"
	partOther    = "else" // code of this module that no rule matches
	moduleMarker = "ravenpond/"
)

// rule assigns stack frames to a part if the name or the file of their function contains a text.
type rule struct{ text, part string }

// rules are tried in their order on each frame of a sample, from the innermost frame outwards; the first match determines the part
// of the sample. Frames that no rule matches, such as those of sockets and the runtime, thus count for their caller's part.
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
	{"internal/serve/metrics", partMetrics},
	{"prometheus", partMetrics},
}

// fallbackRules assign the samples that no rule matches.
var fallbackRules = []rule{{"ravenpond/internal/env", partSockets}, {moduleMarker, partOther}}

// componentOf returns the part of the program that a sample belongs to.
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

// sumByComponent sums a value of a profile's samples by part of the program.
func sumByComponent(path, value string) (map[string]float64, error) {
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
		return nil, fmt.Errorf("%s: profile has no sample type %s", path, value)
	}
	sum := map[string]float64{}
	for _, s := range p.Sample {
		sum[componentOf(s)] += float64(s.Value[at])
	}
	return sum, nil
}

// profileReadings returns the readings of a measurement's profiles: CPU by part, and the heap in use by the part that allocated it.
func profileReadings(path string, seconds float64) ([]result.Reading, error) {
	cpu, err := sumByComponent(path, "cpu")
	if err != nil {
		return nil, err
	}
	heap, err := sumByComponent(path+heapSuffix, "inuse_space")
	if err != nil {
		return nil, err
	}
	var readings []result.Reading
	for _, part := range sortedKeys(cpu) {
		readings = append(readings, result.Reading{Part: part, Name: "cpu", Unit: result.Cores, Value: cpu[part] / 1e9 / seconds})
	}
	for _, part := range sortedKeys(heap) {
		readings = append(readings, result.Reading{Part: part, Name: "heap", Unit: result.Bytes, Value: heap[part]})
	}
	return readings, nil
}

// heapSuffix is appended by `serve` to the path of the CPU profile to form that of the heap profile.
const heapSuffix = ".heap"
