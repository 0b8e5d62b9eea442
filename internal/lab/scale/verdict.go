package scale

import (
	"fmt"

	"ravenpond/internal/lab/scale/result"
)

// Bounds limit what a real process may need. They limit counts only, so that they hold on a machine of any speed: a slow one sends
// less.
type Bounds struct {
	SpareDescriptors  float64 // besides one per connection
	GoroutinesPerNode float64 // at rest and under load
	SpareGoroutines   float64 // besides those per node
	RestMessages      float64 // sent to nodes per second and node
	RestProbeMessages float64 // additionally sent per second and node that is probed to judge its zone
	RestBytes         float64 // per message to a node at rest
	MemberMessages    float64 // datagrams sent per second
	MemberBytes       float64 // per datagram
	AttemptsPerStart  float64 // per served start
	MessagesPerStart  float64 // sent to nodes, in addition to those at rest
	BytesPerStart     float64 // sent to nodes, in addition to those at rest
}

// DefaultBounds returns the bounds of the test that runs with every change: about 1.5 times the measured counts.
func DefaultBounds() Bounds {
	return Bounds{
		SpareDescriptors: 30, GoroutinesPerNode: 2, SpareGoroutines: 60, RestMessages: 0.55, RestProbeMessages: 2.5, RestBytes: 32,
		MemberMessages: 40, MemberBytes: 250, AttemptsPerStart: 1.5, MessagesPerStart: 2, BytesPerStart: 150,
	}
}

// probedNodes is how many nodes of each zone a process probes to judge the zone.
const probedNodes = 6

// restMessages returns how many messages per second a process may send to nodes at rest.
func (b Bounds) restMessages(sizes result.Sizes) float64 {
	return b.RestMessages*float64(sizes.Nodes) + b.RestProbeMessages*float64(min(sizes.Nodes, probedNodes*sizes.Zones))
}

// checkedResult is a result that is checked. It collects breaches of bounds; a missing reading is a breach, too.
type checkedResult struct {
	*result.Result
	breaches []string
}

func (c *checkedResult) value(part, name string) float64 {
	v, ok := c.Value(part, name)
	if !ok {
		c.breach("no reading of %s, %s", part, name)
	}
	return v
}

func (c *checkedResult) breach(format string, args ...any) {
	c.breaches = append(c.breaches, fmt.Sprintf("%s, %d nodes: ", c.Scenario, c.Sizes.Nodes)+fmt.Sprintf(format, args...))
}

func (c *checkedResult) requireAtMost(what string, value, most float64) {
	if value > most {
		c.breach("%s: %.1f, at most %.1f", what, value, most)
	}
}

func (c *checkedResult) requireEqual(what string, value, want float64) {
	if value != want {
		c.breach("%s: %.0f, not %.0f", what, value, want)
	}
}

// CheckRest returns the breaches of bounds at rest.
func (b Bounds) CheckRest(r *result.Result) []string {
	c := &checkedResult{Result: r}
	nodes := float64(r.Sizes.Nodes)
	c.requireEqual("connections to nodes", c.value(nodeConnectionKind, NameConnections), nodes)
	c.requireEqual("connections to the list", c.value("list", NameConnections), 1)
	connections := c.value(nodeConnectionKind, NameConnections) + c.value("taken", NameConnections)
	c.requireAtMost("descriptors", c.value(PartProcess, NameDescriptors), connections+b.SpareDescriptors)
	c.requireAtMost("goroutines", c.value(PartProcess, NameGoroutines), nodes*b.GoroutinesPerNode+b.SpareGoroutines)
	messages := c.value(nodeConnectionKind, NameMessagesSent)
	c.requireAtMost("messages to nodes a second", messages, b.restMessages(r.Sizes))
	c.requireAtMost("bytes to nodes a second", c.value(nodeConnectionKind, NameBytesSent), b.restMessages(r.Sizes)*b.RestBytes)
	c.requireAtMost("datagrams a second", c.value("datagrams", NameMessagesSent), b.MemberMessages)
	c.requireAtMost("bytes of datagrams a second", c.value("datagrams", NameBytesSent), b.MemberMessages*b.MemberBytes)
	c.requireEqual("attempts", c.value(PartProcess, NameAttempts), 0)
	if messages == 0 {
		c.breach("no messages to nodes")
	}
	return c.breaches
}

// CheckStarts returns the breaches of bounds under load. Some bounds apply to what is needed in addition to the result at rest.
func (b Bounds) CheckStarts(rest, starts *result.Result) []string {
	idle, c := &checkedResult{Result: rest}, &checkedResult{Result: starts}
	nodes := float64(starts.Sizes.Nodes)
	c.requireEqual("connections to nodes", c.value(nodeConnectionKind, NameConnections), nodes)
	served := c.value(PartClients, NameServed)
	if served == 0 {
		c.breach("nothing served")
		return append(idle.breaches, c.breaches...)
	}
	c.requireAtMost("attempts a start", c.value(PartProcess, NameAttempts)/served, b.AttemptsPerStart)
	beyond := func(name string) float64 {
		return (c.value(nodeConnectionKind, name) - idle.value(nodeConnectionKind, name)) * starts.Seconds / served
	}
	c.requireAtMost("messages to nodes a start", beyond(NameMessagesSent), b.MessagesPerStart)
	c.requireAtMost("bytes to nodes a start", beyond(NameBytesSent), b.BytesPerStart)
	c.requireAtMost("goroutines", c.value(PartProcess, NameGoroutines), nodes*b.GoroutinesPerNode+b.SpareGoroutines)
	return append(idle.breaches, c.breaches...)
}

// CheckGrowth returns the readings that grow faster than the number of nodes between two results at rest.
func (b Bounds) CheckGrowth(small, large *result.Result) []string {
	from, to := &checkedResult{Result: small}, &checkedResult{Result: large}
	more := float64(large.Sizes.Nodes - small.Sizes.Nodes)
	grown := func(part, name string) float64 { return to.value(part, name) - from.value(part, name) }
	to.requireAtMost("descriptors more", grown(PartProcess, NameDescriptors), more+b.SpareDescriptors/4)
	to.requireAtMost("goroutines more", grown(PartProcess, NameGoroutines), more*b.GoroutinesPerNode+b.SpareGoroutines/4)
	to.requireAtMost("datagrams a second more", grown("datagrams", NameMessagesSent), b.MemberMessages/4)
	return append(from.breaches, to.breaches...)
}
