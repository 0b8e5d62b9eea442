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

// routeKey identifies the route between a scheduler and another party: "list" for the node list, "owner" for clients, or a node by its number.
type routeKey struct{ scheduler, party string }

// DatagramLink is how datagrams pass from one scheduler to another.
type DatagramLink struct {
	Cut   bool
	Loss  float64
	Delay time.Duration
}

// addNodeRelay has schedulers reach a node through a relay, which identifies them by their greeting.
func (r *Rig) addNodeRelay(n *standin.Node) error {
	x, err := newRelay(n.Address, schedulerOf, r.routesTo(fmt.Sprint(n.ID)))
	if err != nil {
		return err
	}
	r.relays = append(r.relays, x)
	n.ListedAddress = x.address()
	return nil
}

// schedulerOf parses the name of a scheduler from its greeting to a node.
func schedulerOf(first []byte) (name string, ok bool) {
	_, after, ok := bytes.Cut(first, []byte("\r\nScheduler: "))
	if !ok {
		return "", false
	}
	line, _, ok := bytes.Cut(after, []byte("\r\n"))
	name, _, _ = strings.Cut(string(line), ".")
	return name, ok
}

// routesTo returns a function that looks up the current routes between a scheduler and a party.
func (r *Rig) routesTo(party string) func(sched string) (there, back Route) {
	return func(sched string) (there, back Route) {
		r.mu.Lock()
		defer r.mu.Unlock()
		both := r.routes[routeKey{sched, party}]
		return both[0], both[1]
	}
}

// SetRoute sets the routes from a scheduler to a party and back.
func (r *Rig) SetRoute(i int, party string, there, back Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := routeKey{r.processes[i].name, party}
	r.routes[key] = [2]Route{there, back}
	if party != "list" || back.Cut {
		return
	}
	kept := r.delayed[:0]
	for _, x := range r.delayed { // The scheduler receives now what the node list sent while the route was cut.
		if x.Scheduler == key.scheduler {
			x.At = r.testbed.Now()
			r.trace = append(r.trace, x)
		} else {
			kept = append(kept, x)
		}
	}
	r.delayed = kept
}

// ResetConnections resets all relayed connections of a scheduler.
func (r *Rig) ResetConnections(i int) {
	x := r.processes[i]
	for _, y := range append([]*relay{x.listRelay, x.clientRelay}, r.relays...) {
		if y != nil {
			y.reset(x.name)
		}
	}
}

// addScheduler opens the datagram relay of a scheduler and reserves a port for its datagrams.
func (r *Rig) addScheduler(i int) error {
	name := fmt.Sprintf("s%03d", i)
	p := &process{name: name, stateDir: filepath.Join(r.Dir, name)}
	reserved, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(standin.LoopbackHost(i))})
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	p.listen = reserved.LocalAddr().String()
	if p.relay, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	p.reservedConn = reserved
	r.processes = append(r.processes, p)
	return nil
}

// forwardDatagrams forwards datagrams to a scheduler, by the links from their senders, until the relay is closed.
func (r *Rig) forwardDatagrams(to int, x *process) {
	at, _ := net.ResolveUDPAddr("udp4", x.listen) // The address was formatted by addScheduler, so it parses.
	b := make([]byte, 2048)
	for {
		n, from, err := x.relay.ReadFromUDPAddrPort(b)
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			continue // The scheduler does not listen while it is dead.
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
			delayed := slices.Clone(b[:n])
			time.AfterFunc(l.Delay, func() { _, _ = x.relay.WriteToUDP(delayed, at) })
		default:
			_, _ = x.relay.WriteToUDP(b[:n], at)
		}
	}
}

// SetDatagramLink sets the link from one scheduler to another.
func (r *Rig) SetDatagramLink(from, to int, l DatagramLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.datagramLinks[[2]int{from, to}] = l
}
