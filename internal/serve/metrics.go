package serve

import (
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
)

// collectTimeout is how long a scrape waits for the shards, and again for the consensus replica. Values of those that have not replied by then
// are left out.
const collectTimeout = 200 * time.Millisecond

// metricsCollector reads the metrics of a scheduler at each scrape from the components that hold them. It stores no metrics itself. It
// implements prometheus.Collector.
type metricsCollector struct {
	server *Server

	answers, attempts, open, running, shards *prometheus.Desc
	members, datagrams, deaths               *prometheus.Desc
	version, leaseSeconds, messages, writes  *prometheus.Desc
	zoneShare                                *prometheus.Desc
	cpu                                      *prometheus.Desc
	traffic, trafficBytes                    *prometheus.Desc
	connections, opened                      *prometheus.Desc
}

func newMetricsCollector(s *Server) *metricsCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("ravenpond_"+name, help, labels, prometheus.Labels{"scheduler": s.config.Name})
	}
	return &metricsCollector{
		server: s,

		answers:  desc("allocations_total", "Allocations by what became of them.", "became"),
		attempts: desc("tries_total", "Placement tries that were sent."),
		open:     desc("allocations_open", "Allocations without a final answer."),
		running:  desc("tries_held", "Allocations with a try that is out or runs."),
		shards:   desc("shards", "Shards that answered when they were asked."),

		members:   desc("members", "Other schedulers by the state in which they are held.", "state"),
		datagrams: desc("members_datagrams_total", "Members' datagrams.", "way"),
		deaths:    desc("members_deaths_total", "Other schedulers that were held for dead."),

		version:      desc("book_version", "Version of the book that is held."),
		leaseSeconds: desc("book_sure_seconds", "For how long it may be acted on yet; under 0 by its careful reading."),
		messages:     desc("book_messages_total", "Messages sent for the book."),
		writes:       desc("book_writes_total", "Writes of a steward."),
		zoneShare:    desc("zone_part", "Part of a zone's nodes that is sent to.", "zone"),

		cpu:          desc("cpu_seconds_total", "CPU time of the process, user and system."),
		traffic:      desc("traffic_messages_total", "Messages handed over, and reads that brought something, by kind of connection.", "kind", "way"),
		trafficBytes: desc("traffic_bytes_total", "Bytes of connections and datagrams.", "kind", "way"),
		connections:  desc("connections", "Open connections.", "kind"),
		opened:       desc("connections_total", "Connections that were ever open.", "kind"),
	}
}

// Describe sends the descriptions of all metrics.
func (c *metricsCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect sends all metrics. It waits up to collectTimeout for the shards, and as long for the consensus replica.
func (c *metricsCollector) Collect(out chan<- prometheus.Metric) {
	c.collectShards(out)
	c.collectProcess(out)
	c.collectMembership(out)
	c.collectControl(out)
}

func counter(out chan<- prometheus.Metric, desc *prometheus.Desc, value uint64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
}

func gauge(out chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func (c *metricsCollector) collectShards(out chan<- prometheus.Metric) {
	totals, shards := c.server.stats()
	for outcome, value := range map[string]uint64{
		"taken": totals.Admitted, "refused": totals.Rejected, "served": totals.Served,
		"declined": totals.Declined, "failed": totals.Failed, "lapsed": totals.Expired,
	} {
		counter(out, c.answers, value, outcome)
	}
	counter(out, c.attempts, totals.Offers)
	gauge(out, c.open, float64(totals.Open))
	gauge(out, c.running, float64(totals.Allocations))
	gauge(out, c.shards, float64(shards))
}

func (c *metricsCollector) collectMembership(out chan<- prometheus.Metric) {
	c.server.membership.withDetector(func(detector *membership.Detector) {
		count := detector.Count()
		for state, value := range map[string]int{"alive": count.Alive, "suspect": count.Suspect, "dead": count.Dead, "left": count.Left} {
			gauge(out, c.members, float64(value), state)
		}
		counter(out, c.datagrams, detector.Stats.Sent, "sent")
		counter(out, c.datagrams, detector.Stats.Received, "got")
		counter(out, c.deaths, detector.Stats.Deaths)
	})
}

func (c *metricsCollector) collectControl(out chan<- prometheus.Metric) {
	control := c.server.clusterControl
	if control == nil {
		return
	}
	view := control.runner.View()
	gauge(out, c.version, float64(view.State.Version()))
	gauge(out, c.leaseSeconds, (view.LeaseExpiry-c.server.env.Now())/1000)
	shares, _ := control.zones.currentShares()
	for zone, share := range shares {
		gauge(out, c.zoneShare, share, zone)
	}
	replies := make(chan consensus.Stats, 1)
	control.runner.Enqueue(func(replica *consensus.Replica) { replies <- replica.Stats })
	select {
	case stats := <-replies:
		counter(out, c.messages, stats.Messages)
		counter(out, c.writes, stats.Writes)
	case <-time.After(collectTimeout):
	}
}

// trafficCounter is an environment that counts the traffic that passes through it.
type trafficCounter interface{ Traffic() []env.Traffic }

// collectProcess sends the CPU time of the process, at a finer resolution than the kernel's ticks, and its traffic.
func (c *metricsCollector) collectProcess(out chan<- prometheus.Metric) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		seconds := float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second)
		out <- prometheus.MustNewConstMetric(c.cpu, prometheus.CounterValue, seconds)
	}
	environment, ok := c.server.env.(trafficCounter)
	if !ok {
		return
	}
	for _, traffic := range environment.Traffic() {
		kind := traffic.Kind.String()
		counter(out, c.traffic, traffic.SentMessages, kind, "sent")
		counter(out, c.traffic, traffic.ReceivedMessages, kind, "received")
		counter(out, c.trafficBytes, traffic.SentBytes, kind, "sent")
		counter(out, c.trafficBytes, traffic.ReceivedBytes, kind, "received")
		gauge(out, c.connections, float64(traffic.OpenConnections), kind)
		counter(out, c.opened, traffic.OpenedConnections, kind)
	}
}

// stats sums the statistics of the shards, and returns how many shards replied within collectTimeout.
func (s *Server) stats() (sum engine.Stats, shards int) {
	live := s.liveShards()
	replies := make(chan engine.Stats, len(live))
	expected := 0
	for _, sh := range live {
		if sh.post(func(float64) { replies <- sh.engine.Stats() }) {
			expected++
		}
	}
	timeout := time.After(collectTimeout)
	for range expected {
		select {
		case stats := <-replies:
			shards++
			addStats(&sum, stats)
		case <-timeout:
			return sum, shards
		}
	}
	return sum, shards
}

// addStats adds those of a shard's statistics to sum that are exported as metrics or logged.
func addStats(sum *engine.Stats, stats engine.Stats) {
	sum.Admitted += stats.Admitted
	sum.Rejected += stats.Rejected
	sum.Served += stats.Served
	sum.Declined += stats.Declined
	sum.Failed += stats.Failed
	sum.Expired += stats.Expired
	sum.Offers += stats.Offers
	sum.Open += stats.Open
	sum.Allocations += stats.Allocations
}
