package cluster

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"ravenpond/internal/standin"
)

// routeKey names the way between a scheduler and another party: "list", "owner", or a node by its number.
type routeKey struct{ scheduler, party string }

// DatagramLink is the way of datagrams from one scheduler to another.
type DatagramLink struct {
	Cut   bool
	Loss  float64
	Delay time.Duration
}

// addNodeRelay has schedulers reach a node by a relay, which learns from their greeting who they are.
func (r *Rig) addNodeRelay(n *standin.Node) error {
	x, err := newRelay(n.Address, schedulerOf, r.routesTo(fmt.Sprint(n.ID)))
	if err != nil {
		return err
	}
	r.relays = append(r.relays, x)
	n.ListedAddress = x.address()
	return nil
}

// schedulerOf reads the name of a scheduler from its greeting to a node.
func schedulerOf(first []byte) (name string, ok bool) {
	_, after, ok := bytes.Cut(first, []byte("\r\nScheduler: "))
	if !ok {
		return "", false
	}
	line, _, ok := bytes.Cut(after, []byte("\r\n"))
	name, _, _ = strings.Cut(string(line), ".")
	return name, ok
}

// routesTo gives the ways between schedulers and a party, as they are.
func (r *Rig) routesTo(party string) func(sched string) (there, back Route) {
	return func(sched string) (there, back Route) {
		r.mu.Lock()
		defer r.mu.Unlock()
		both := r.routes[routeKey{sched, party}]
		return both[0], both[1]
	}
}

// SetRoute sets the way from a scheduler to a party, and back.
func (r *Rig) SetRoute(i int, party string, there, back Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of := routeKey{r.processes[i].name, party}
	r.routes[of] = [2]Route{there, back}
	if party != "list" || back.Cut {
		return
	}
	kept := r.delayed[:0]
	for _, x := range r.delayed { // what the list said meanwhile is heard now
		if x.Scheduler == of.scheduler {
			x.At = r.testbed.Now()
			r.trace = append(r.trace, x)
		} else {
			kept = append(kept, x)
		}
	}
	r.delayed = kept
}

// ResetConnections breaks all connections of a scheduler.
func (r *Rig) ResetConnections(i int) {
	x := r.processes[i]
	for _, y := range append([]*relay{x.listRelay, x.clientRelay}, r.relays...) {
		if y != nil {
			y.reset(x.name)
		}
	}
}

// addScheduler opens the relay to a scheduler and finds it a port for datagrams.
func (r *Rig) addScheduler(i int) error {
	name := fmt.Sprintf("s%03d", i)
	x := &process{name: name, folder: filepath.Join(r.Dir, name)}
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(standin.LoopbackHost(i))})
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	x.listen = free.LocalAddr().String()
	if x.relay, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	x.reservedConn = free
	r.processes = append(r.processes, x)
	return nil
}

// forwardDatagrams passes datagrams on to a scheduler, as the lanes have it, until the relay is closed.
func (r *Rig) forwardDatagrams(to int, x *process) {
	at, _ := net.ResolveUDPAddr("udp4", x.listen) // its own words, read back
	b := make([]byte, 2048)
	for {
		n, from, err := x.relay.ReadFromUDPAddrPort(b)
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			continue // nobody listens there just now
		}
		sender := -1
		for j, y := range r.processes {
			if y.listen == from.String() {
				sender = j
			}
		}
		r.mu.Lock()
		l := r.datagramLinks[[2]int{sender, to}]
		drop := l.Cut || l.Loss > 0 && r.rng.Float64() < l.Loss
		r.mu.Unlock()
		switch {
		case drop:
		case l.Delay > 0:
			late := slices.Clone(b[:n])
			time.AfterFunc(l.Delay, func() { _, _ = x.relay.WriteToUDP(late, at) })
		default:
			_, _ = x.relay.WriteToUDP(b[:n], at)
		}
	}
}

// SetDatagramLink sets the way from one scheduler to another.
func (r *Rig) SetDatagramLink(from, to int, l DatagramLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.datagramLinks[[2]int{from, to}] = l
}
