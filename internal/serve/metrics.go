package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/engine"
)

// Bounds of the page of counts.
const (
	collectTimeout       = 200 * time.Millisecond // a shard that says nothing for so long is left out
	httpTimeout          = 2 * time.Second
	maxHeaderBytes       = 8 << 10
	maxConcurrentScrapes = 4 // at once
)

// metricsCollector gathers what a scheduler counts when it is asked for, by asking each part: nothing is counted twice or kept for it.
type metricsCollector struct {
	server *Server

	answers, attempts, open, running, shards *prometheus.Desc
	members, datagrams, deaths               *prometheus.Desc
	version, leaseSeconds, messages, writes  *prometheus.Desc
	zoneShare, cpu                           *prometheus.Desc
	traffic, trafficBytes                    *prometheus.Desc
	connections, opened                      *prometheus.Desc
}

func newMetricsCollector(s *Server) *metricsCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("ravenpond_"+name, help, labels, prometheus.Labels{"scheduler": s.config.Name})
	}
	return &metricsCollector{
		server:       s,
		answers:      desc("allocations_total", "Allocations by what became of them.", "became"),
		attempts:     desc("tries_total", "Placement tries that were sent."),
		open:         desc("allocations_open", "Allocations without a final answer."),
		running:      desc("tries_held", "Allocations with a try that is out or runs."),
		shards:       desc("shards", "Shards that answered when they were asked."),
		members:      desc("members", "Other schedulers by the state in which they are held.", "state"),
		datagrams:    desc("members_datagrams_total", "Members' datagrams.", "way"),
		deaths:       desc("members_deaths_total", "Other schedulers that were held for dead."),
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

// Describe names all counts.
func (c *metricsCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect asks all parts.
func (c *metricsCollector) Collect(out chan<- prometheus.Metric) {
	counter := func(desc *prometheus.Desc, v uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(desc *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, v, labels...)
	}
	totals, shards := c.server.stats()
	for outcome, v := range map[string]uint64{"taken": totals.Admitted, "refused": totals.Rejected, "served": totals.Served, "declined": totals.Declined, "failed": totals.Failed, "lapsed": totals.Expired} {
		counter(c.answers, v, outcome)
	}
	counter(c.attempts, totals.Offers)
	c.collectProcess(out)
	gauge(c.open, float64(totals.Open))
	gauge(c.running, float64(totals.Held))
	gauge(c.shards, float64(shards))
	if c.server.membership.runner != nil {
		c.server.membership.runner.WithDetector(func(desc *membership.Detector) {
			n := desc.Count()
			for state, v := range map[string]int{"alive": n.Alive, "suspect": n.Suspect, "dead": n.Dead, "left": n.Left} {
				gauge(c.members, float64(v), state)
			}
			counter(c.datagrams, desc.Stats.Sent, "sent")
			counter(c.datagrams, desc.Stats.Got, "got")
			counter(c.deaths, desc.Stats.Deaths)
		})
	}
	if c.server.control == nil {
		return
	}
	view := c.server.control.View()
	gauge(c.version, float64(view.State.Version()))
	gauge(c.leaseSeconds, (view.LeaseExpiry-c.server.env.Now())/1000)
	parts, _ := c.server.zones.currentShares()
	for zone, part := range parts {
		gauge(c.zoneShare, part, zone)
	}
	stats := make(chan consensus.Stats, 1)
	c.server.control.Enqueue(func(replica *consensus.Replica) { stats <- replica.Stats })
	select {
	case stats := <-stats:
		counter(c.messages, stats.Messages)
		counter(c.writes, stats.Writes)
	case <-time.After(collectTimeout):
	}
}

// stats sums up what shards count, and tells how many answered.
func (s *Server) stats() (sum engine.Stats, shards int) {
	s.routerMu.Lock()
	live := s.liveShardsLocked()
	s.routerMu.Unlock()
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
		case shardStats := <-replies:
			shards++
			sum.Admitted += shardStats.Admitted
			sum.Rejected += shardStats.Rejected
			sum.Served += shardStats.Served
			sum.Declined += shardStats.Declined
			sum.Failed += shardStats.Failed
			sum.Expired += shardStats.Expired
			sum.Offers += shardStats.Offers
			sum.Open += shardStats.Open
			sum.Held += shardStats.Held
		case <-timeout:
			return sum, shards
		}
	}
	return sum, shards
}

// serveMetrics serves the page of counts where the site file has an address for it. ended closes it and waits.
func (s *Server) serveMetrics(listen string) (address string, closeServer func(), err error) {
	if listen == "" {
		return "", func() {}, nil
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", nil, fmt.Errorf("counts: %w", err)
	}
	registry := prometheus.NewRegistry()
	err = errors.Join(registry.Register(newMetricsCollector(s)), registry.Register(collectors.NewGoCollector()),
		registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})))
	if err != nil {
		listener.Close()
		return "", nil, fmt.Errorf("counts: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: httpTimeout}))
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: httpTimeout, ReadTimeout: httpTimeout, WriteTimeout: 2 * httpTimeout,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: maxHeaderBytes,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Str("mode", "counts").Err(err).Msg("page ended")
		}
	}()
	s.log.Info().Str("mode", "counts").Str("address", listener.Addr().String()).Msg("page")
	return listener.Addr().String(), func() {
		ctx, stop := context.WithTimeout(context.Background(), collectTimeout)
		defer stop()
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
		<-done
	}, nil
}
