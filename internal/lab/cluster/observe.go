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

// record keeps what passes. A word of the list counts when it is heard, not when it is said.
func (r *Rig) record(x *audit.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.Kind == audit.EndpointDelivered || x.Kind == audit.ListDelivered {
		switch back := r.routes[routeKey{x.Scheduler, "list"}][1]; {
		case back.Cut:
			r.delayed = append(r.delayed, *x)
			return
		default:
			x.At += float64(back.Delay) / 1e6
		}
	}
	r.trace = append(r.trace, *x)
}

// IsolateZone cuts a zone's nodes off from all schedulers, or lets them be heard again.
func (r *Rig) IsolateZone(zone string, is bool) {
	for _, n := range r.nodes {
		if n.Zone == zone {
			for i := range r.processes {
				r.SetRoute(i, fmt.Sprint(n.ID), Route{Cut: is}, Route{Cut: is})
			}
		}
	}
}

// ZoneShares tells when each scheduler last changed which part of a zone it sends to, by its log, and to which; unix ms.
func (r *Rig) ZoneShares(zone string) (at, part []float64, err error) {
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
		at, part = append(at, since), append(part, last)
	}
	return at, part, nil
}

// StateConverged tells whether all that run hold the same book, are sure of it, and act in it under epochs of their own; else who
// does not.
func (r *Rig) StateConverged() (bool, string) {
	epochs := map[uint64]string{}
	first := ""
	for _, i := range r.Running() {
		v, err := r.SchedulerView(i)
		switch name := r.processes[i].name; {
		case err != nil:
			return false, err.Error()
		case v.ClusterState == nil || v.ClusterState.Version == 0 || v.ClusterState.Epoch == 0:
			return false, name + " holds no book"
		case v.ClusterState.LeaseSeconds < 0:
			return false, fmt.Sprintf("%s is not sure: %.1f s", name, v.ClusterState.LeaseSeconds)
		case epochs[v.ClusterState.Epoch] != "":
			return false, fmt.Sprintf("%s and %s act under epoch %d", name, epochs[v.ClusterState.Epoch], v.ClusterState.Epoch)
		case first == "":
			first = v.ClusterState.Digest
		case v.ClusterState.Digest != first:
			return false, fmt.Sprintf("%s holds version %d, %s, others %s", name, v.ClusterState.Version, v.ClusterState.Digest, first)
		}
		epochs[v.ClusterState.Epoch] = r.processes[i].name
	}
	return true, ""
}

// SchedulerView reads what a scheduler holds of the others.
func (r *Rig) SchedulerView(i int) (v serve.MembershipView, err error) {
	b, err := os.ReadFile(filepath.Join(r.processes[i].folder, serve.MembersFile))
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(b, &v)
}

// Running are the schedulers that run.
func (r *Rig) Running() (all []int) {
	for i, x := range r.processes {
		x.mu.Lock()
		if x.command != nil && !x.stopped {
			all = append(all, i)
		}
		x.mu.Unlock()
	}
	return all
}

// MembersConverged tells whether each scheduler that runs holds all others that run for alive and no other, else who does not.
func (r *Rig) MembersConverged() (bool, string) {
	living := r.Running()
	for _, i := range living {
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
		for _, j := range living {
			if j != i {
				want = append(want, r.processes[j].name)
			}
		}
		if !slices.Equal(got, want) {
			return false, fmt.Sprintf("%s holds %v for alive, want %v", r.processes[i].name, got, want)
		}
	}
	return true, ""
}

// DeathReport is word in a log that one holds another for dead.
type DeathReport struct {
	By, Member string
	At         time.Time
}

// Deaths are all that stand in the logs, by time.
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
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Mode == "members" && l.Is == "dead" && l.Was != "unknown" { // who comes hears of the dead, and held nobody for that
				all = append(all, DeathReport{x.name, l.Member, time.UnixMicro(int64(l.Ms * 1000))})
			}
		}
	}
	slices.SortFunc(all, func(a, b DeathReport) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.By, b.By)) })
	return all, nil
}

// DetectionTimes is how long it took until those who ran on knew of each kill, sorted, and how many never did before the killed one
// was back for so long. Deaths of schedulers that were not killed within a while before count as wrong.
func (r *Rig) DetectionTimes(within time.Duration) (took []time.Duration, never, wrong int, err error) {
	deaths, err := r.Deaths()
	if err != nil {
		return nil, 0, 0, err
	}
	r.mu.Lock()
	kills := slices.Clone(r.kills)
	r.mu.Unlock()
	down := map[int]bool{}
	for _, k := range kills {
		down[k.scheduler] = true
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
			} else if !down[i] {
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
