package cluster

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/serve"
)

// record adds a record to the trace. A message of the node list counts from when the scheduler receives it, not from when it is sent.
func (r *Rig) record(x *audit.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.Kind == audit.EndpointDelivered || x.Kind == audit.ListDelivered {
		switch route := r.routes[routeKey{x.Scheduler, "list"}][1]; {
		case route.Cut:
			r.delayed = append(r.delayed, *x)
			return
		default:
			x.At += float64(route.Delay) / 1e6
		}
	}
	r.trace = append(r.trace, *x)
}

// IsolateZone cuts the routes between a zone's nodes and all schedulers, or restores them.
func (r *Rig) IsolateZone(zone string, isolated bool) {
	for _, n := range r.nodes {
		if n.Zone == zone {
			for i := range r.processes {
				r.SetRoute(i, fmt.Sprint(n.ID), Route{Cut: isolated}, Route{Cut: isolated})
			}
		}
	}
}

// ZoneShares returns, from the log of each scheduler, when its share of a zone last changed, in Unix ms (0: never), and the share.
func (r *Rig) ZoneShares(zone string) (at, share []float64, err error) {
	for _, x := range r.processes {
		b, err := os.ReadFile(filepath.Join(r.Dir, x.name+".log"))
		if err != nil {
			return nil, nil, err
		}
		since, last := 0.0, 1.0
		for line := range bytes.Lines(b) {
			var l struct {
				Mode  string
				Parts map[string]float64
				At    float64 `json:"unix_ms"`
			}
			if json.Unmarshal(line, &l) == nil && l.Mode == "zones" && l.Parts != nil && l.Parts[zone] != last {
				since, last = l.At, l.Parts[zone]
			}
		}
		at, share = append(at, since), append(share, last)
	}
	return at, share, nil
}

// StateConverged reports whether all running schedulers hold the same cluster state under a valid lease, each with its own epoch. If not,
// the string says which scheduler does not.
func (r *Rig) StateConverged() (bool, string) {
	epochs := map[uint64]string{}
	first := ""
	for _, i := range r.Running() {
		v, err := r.SchedulerView(i)
		switch name := r.processes[i].name; {
		case err != nil:
			return false, err.Error()
		case v.ClusterState == nil || v.ClusterState.Version == 0 || v.ClusterState.Epoch == 0:
			return false, name + " holds no cluster state"
		case v.ClusterState.LeaseSeconds < 0:
			return false, fmt.Sprintf("%s has no valid lease: %.1f s", name, v.ClusterState.LeaseSeconds)
		case epochs[v.ClusterState.Epoch] != "":
			return false, fmt.Sprintf("%s and %s both act under epoch %d", name, epochs[v.ClusterState.Epoch], v.ClusterState.Epoch)
		case first == "":
			first = v.ClusterState.Digest
		case v.ClusterState.Digest != first:
			return false, fmt.Sprintf("%s holds version %d with digest %s, others hold digest %s", name, v.ClusterState.Version, v.ClusterState.Digest, first)
		}
		epochs[v.ClusterState.Epoch] = r.processes[i].name
	}
	return true, ""
}

// SchedulerView reads the view of membership and cluster state that a scheduler writes to its state folder.
func (r *Rig) SchedulerView(i int) (v serve.MembershipView, err error) {
	b, err := os.ReadFile(filepath.Join(r.processes[i].stateDir, serve.MembersFile))
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(b, &v)
}

// Running returns the numbers of the schedulers that run and are not paused.
func (r *Rig) Running() (all []int) {
	for i, x := range r.processes {
		x.mu.Lock()
		if x.command != nil && !x.paused {
			all = append(all, i)
		}
		x.mu.Unlock()
	}
	return all
}

// MembersConverged reports whether each running scheduler considers all other running ones alive, and no others. If not, the string says
// which scheduler does not.
func (r *Rig) MembersConverged() (bool, string) {
	running := r.Running()
	for _, i := range running {
		v, err := r.SchedulerView(i)
		if err != nil {
			return false, err.Error()
		}
		var got, want []string
		for _, m := range v.Members {
			if m.State == "alive" {
				got = append(got, m.Name)
			}
		}
		for _, j := range running {
			if j != i {
				want = append(want, r.processes[j].name)
			}
		}
		if !slices.Equal(got, want) {
			return false, fmt.Sprintf("%s considers %v alive, want %v", r.processes[i].name, got, want)
		}
	}
	return true, ""
}

// DeathReport is a log entry by which one scheduler declares another dead.
type DeathReport struct {
	By, Member string
	At         time.Time
}

// Deaths returns all death reports in the logs, sorted by time.
func (r *Rig) Deaths() (all []DeathReport, err error) {
	for _, x := range r.processes {
		b, err := os.ReadFile(filepath.Join(r.Dir, x.name+".log"))
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(b))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var l struct {
				Mode, Member, Is, Was string
				Ms                    float64 `json:"unix_ms"`
			}
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Mode == "members" && l.Is == "dead" && l.Was != "unknown" { // A joining scheduler learns of earlier deaths.
				all = append(all, DeathReport{x.name, l.Member, time.UnixMicro(int64(l.Ms * 1000))})
			}
		}
	}
	slices.SortFunc(all, func(a, b DeathReport) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.By, b.By)) })
	return all, nil
}

// DetectionTimes returns how long the schedulers that were never killed took to declare each killed one dead, sorted, and how many
// detections did not come in time. A death report without a kill of that scheduler in the time before it counts as wrong.
func (r *Rig) DetectionTimes(within time.Duration) (took []time.Duration, never, wrong int, err error) {
	deaths, err := r.Deaths()
	if err != nil {
		return nil, 0, 0, err
	}
	r.mu.Lock()
	kills := slices.Clone(r.kills)
	r.mu.Unlock()
	killed := map[int]bool{}
	for _, k := range kills {
		killed[k.scheduler] = true
	}
	for _, k := range kills {
		first := map[string]time.Duration{}
		for _, d := range deaths {
			if _, ok := first[d.By]; !ok && d.Member == r.processes[k.scheduler].name && !d.At.Before(k.at) && d.At.Before(k.at.Add(within)) {
				first[d.By] = d.At.Sub(k.at)
			}
		}
		for i, x := range r.processes {
			if t, ok := first[x.name]; ok {
				took = append(took, t)
			} else if !killed[i] {
				never++
			}
		}
	}
	for _, d := range deaths {
		if !slices.ContainsFunc(kills, func(k killRecord) bool {
			return r.processes[k.scheduler].name == d.Member && !d.At.Before(k.at) && d.At.Before(k.at.Add(within))
		}) {
			wrong++
		}
	}
	slices.Sort(took)
	return took, never, wrong, nil
}
