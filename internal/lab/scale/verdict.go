package scale

import (
	"fmt"

	"ravenpond/internal/lab/scale/result"
)

// Bounds are what a real process may need, by counts alone: they hold on a machine of any speed, as a slow one sends less.
type Bounds struct {
	SpareDescriptors  float64 // beside one a connection
	GoroutinesPerNode float64
	SpareGoroutines   float64
	RestMessages      float64 // sent to nodes a second, for each of them
	RestProbeMessages float64 // and a second to each that is looked at for its zone's sake
	RestBytes         float64 // a message to a node at rest
	MemberMessages    float64 // datagrams sent a second
	MemberBytes       float64 // of a datagram
	AttemptsPerStart  float64
	MessagesPerStart  float64 // sent to nodes, beyond those at rest
	BytesPerStart     float64 // sent to nodes, beyond those at rest
}

// DefaultBounds are those of the test that runs with every change: about half as much again as was counted.
func DefaultBounds() Bounds {
	return Bounds{
		SpareDescriptors: 30, GoroutinesPerNode: 2, SpareGoroutines: 60, RestMessages: 0.55, RestProbeMessages: 2.5, RestBytes: 32,
		MemberMessages: 40, MemberBytes: 250, AttemptsPerStart: 1.5, MessagesPerStart: 2, BytesPerStart: 150,
	}
}

// probedNodes is how many nodes of each zone a process looks at.
const probedNodes = 6

// restMessages is how many messages a second a process may send to nodes at rest.
func (b Bounds) restMessages(sizes result.Sizes) float64 {
	return b.RestMessages*float64(sizes.Nodes) + b.RestProbeMessages*float64(min(sizes.Nodes, probedNodes*sizes.Zones))
}

// checkedResult is a result whose readings are looked up by name; one that lacks is a breach.
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

func (c *checkedResult) atMost(what string, value, most float64) {
	if value > most {
		c.breach("%s: %.1f, at most %.1f", what, value, most)
	}
}

func (c *checkedResult) equals(what string, value, want float64) {
	if value != want {
		c.breach("%s: %.0f, not %.0f", what, value, want)
	}
}

// CheckRest names what a process needs at rest beyond the bounds.
func (b Bounds) CheckRest(r *result.Result) []string {
	c := &checkedResult{Result: r}
	nodes := float64(r.Sizes.Nodes)
	c.equals("connections to nodes", c.value(heldKind, NameConnections), nodes)
	c.equals("connections to the list", c.value("list", NameConnections), 1)
	connections := c.value(heldKind, NameConnections) + c.value("taken", NameConnections)
	c.atMost("descriptors", c.value(PartProcess, NameDescriptors), connections+b.SpareDescriptors)
	c.atMost("goroutines", c.value(PartProcess, NameGoroutines), nodes*b.GoroutinesPerNode+b.SpareGoroutines)
	messages := c.value(heldKind, NameMessagesSent)
	c.atMost("messages to nodes a second", messages, b.restMessages(r.Sizes))
	c.atMost("bytes to nodes a second", c.value(heldKind, NameBytesSent), b.restMessages(r.Sizes)*b.RestBytes)
	c.atMost("datagrams a second", c.value("datagrams", NameMessagesSent), b.MemberMessages)
	c.atMost("bytes of datagrams a second", c.value("datagrams", NameBytesSent), b.MemberMessages*b.MemberBytes)
	c.equals("attempts", c.value(PartProcess, NameAttempts), 0)
	if messages == 0 {
		c.breach("no messages to nodes")
	}
	return c.breaches
}

// CheckStarts names what a process needs under starts beyond the bounds, beside what it needed at rest.
func (b Bounds) CheckStarts(rest, starts *result.Result) []string {
	idle, c := &checkedResult{Result: rest}, &checkedResult{Result: starts}
	nodes := float64(starts.Sizes.Nodes)
	c.equals("connections to nodes", c.value(heldKind, NameConnections), nodes)
	served := c.value(PartClients, NameServed)
	if served == 0 {
		c.breach("nothing served")
		return append(idle.breaches, c.breaches...)
	}
	c.atMost("attempts a start", c.value(PartProcess, NameAttempts)/served, b.AttemptsPerStart)
	beyond := func(name string) float64 {
		return (c.value(heldKind, name) - idle.value(heldKind, name)) * starts.Seconds / served
	}
	c.atMost("messages to nodes a start", beyond(NameMessagesSent), b.MessagesPerStart)
	c.atMost("bytes to nodes a start", beyond(NameBytesSent), b.BytesPerStart)
	c.atMost("goroutines", c.value(PartProcess, NameGoroutines), nodes*b.GoroutinesPerNode+b.SpareGoroutines)
	return append(idle.breaches, c.breaches...)
}

// CheckGrowth names what grows faster than the number of nodes between two results at rest.
func (b Bounds) CheckGrowth(small, large *result.Result) []string {
	from, to := &checkedResult{Result: small}, &checkedResult{Result: large}
	more := float64(large.Sizes.Nodes - small.Sizes.Nodes)
	grown := func(part, name string) float64 { return to.value(part, name) - from.value(part, name) }
	to.atMost("descriptors more", grown(PartProcess, NameDescriptors), more+b.SpareDescriptors/4)
	to.atMost("goroutines more", grown(PartProcess, NameGoroutines), more*b.GoroutinesPerNode+b.SpareGoroutines/4)
	to.atMost("datagrams a second more", grown("datagrams", NameMessagesSent), b.MemberMessages/4)
	return append(from.breaches, to.breaches...)
}
