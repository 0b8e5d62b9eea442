package procs

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

// wayOf names the way between a scheduler and another party: "list", "owner", or a node by its number.
type wayOf struct{ sched, party string }

// Lane is the way of datagrams from one scheduler to another.
type Lane struct {
	Cut  bool
	Loss float64
	Slow time.Duration
}

// reach has schedulers reach a node by a relay, which learns from their greeting who they are.
func (r *Rig) reach(n *standin.Node) error {
	x, err := newRelay(n.Address, greeter, r.way(fmt.Sprint(n.ID)))
	if err != nil {
		return err
	}
	r.relays = append(r.relays, x)
	n.ListedAddress = x.address()
	return nil
}

// greeter reads the name of a scheduler from its greeting to a node.
func greeter(first []byte) (name string, ok bool) {
	_, after, ok := bytes.Cut(first, []byte("\r\nScheduler: "))
	if !ok {
		return "", false
	}
	line, _, ok := bytes.Cut(after, []byte("\r\n"))
	name, _, _ = strings.Cut(string(line), ".")
	return name, ok
}

// way gives the ways between schedulers and a party, as they are.
func (r *Rig) way(party string) func(sched string) (there, back Way) {
	return func(sched string) (there, back Way) {
		r.mu.Lock()
		defer r.mu.Unlock()
		both := r.ways[wayOf{sched, party}]
		return both[0], both[1]
	}
}

// Way sets the way from a scheduler to a party, and back.
func (r *Rig) Way(i int, party string, there, back Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of := wayOf{r.all[i].name, party}
	r.ways[of] = [2]Way{there, back}
	if party != "list" || back.Cut {
		return
	}
	kept := r.held[:0]
	for _, x := range r.held { // what the list said meanwhile is heard now
		if x.Scheduler == of.sched {
			x.At = r.w.Now()
			r.trace = append(r.trace, x)
		} else {
			kept = append(kept, x)
		}
	}
	r.held = kept
}

// Reset breaks all connections of a scheduler.
func (r *Rig) Reset(i int) {
	x := r.all[i]
	for _, y := range append([]*relay{x.toList, x.toOwner}, r.relays...) {
		if y != nil {
			y.reset(x.name)
		}
	}
}

// door opens the relay to a scheduler and finds it a port for datagrams.
func (r *Rig) door(i int) error {
	name := fmt.Sprintf("s%03d", i)
	x := &proc{name: name, folder: filepath.Join(r.Dir, name)}
	loop := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	free, err := net.ListenUDP("udp4", loop)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	x.listen = free.LocalAddr().String()
	if x.relay, err = net.ListenUDP("udp4", loop); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	x.free = free
	r.all = append(r.all, x)
	return nil
}

// carry passes datagrams on to a scheduler, as the lanes have it, until the relay is closed.
func (r *Rig) carry(to int, x *proc) {
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
		for j, y := range r.all {
			if y.listen == from.String() {
				sender = j
			}
		}
		r.mu.Lock()
		l := r.lanes[[2]int{sender, to}]
		drop := l.Cut || l.Loss > 0 && r.rng.Float64() < l.Loss
		r.mu.Unlock()
		switch {
		case drop:
		case l.Slow > 0:
			late := slices.Clone(b[:n])
			time.AfterFunc(l.Slow, func() { _, _ = x.relay.WriteToUDP(late, at) })
		default:
			_, _ = x.relay.WriteToUDP(b[:n], at)
		}
	}
}

// Lane sets the way from one scheduler to another.
func (r *Rig) Lane(from, to int, l Lane) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lanes[[2]int{from, to}] = l
}
