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

func newCounts(s *Server) *metricsCollector {
	d := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("ravenpond_"+name, help, labels, prometheus.Labels{"scheduler": s.config.Name})
	}
	return &metricsCollector{
		server:       s,
		answers:      d("allocations_total", "Allocations by what became of them.", "became"),
		attempts:     d("tries_total", "Placement tries that were sent."),
		open:         d("allocations_open", "Allocations without a final answer."),
		running:      d("tries_held", "Allocations with a try that is out or runs."),
		shards:       d("shards", "Shards that answered when they were asked."),
		members:      d("members", "Other schedulers by the state in which they are held.", "state"),
		datagrams:    d("members_datagrams_total", "Members' datagrams.", "way"),
		deaths:       d("members_deaths_total", "Other schedulers that were held for dead."),
		version:      d("book_version", "Version of the book that is held."),
		leaseSeconds: d("book_sure_seconds", "For how long it may be acted on yet; under 0 by its careful reading."),
		messages:     d("book_messages_total", "Messages sent for the book."),
		writes:       d("book_writes_total", "Writes of a steward."),
		zoneShare:    d("zone_part", "Part of a zone's nodes that is sent to.", "zone"),
		cpu:          d("cpu_seconds_total", "CPU time of the process, user and system."),

		traffic:      d("traffic_messages_total", "Messages handed over, and reads that brought something, by kind of connection.", "kind", "way"),
		trafficBytes: d("traffic_bytes_total", "Bytes of connections and datagrams.", "kind", "way"),
		connections:  d("connections", "Open connections.", "kind"),
		opened:       d("connections_total", "Connections that were ever open.", "kind"),
	}
}

// Describe names all counts.
func (c *metricsCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect asks all parts.
func (c *metricsCollector) Collect(out chan<- prometheus.Metric) {
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	st, n := c.server.stats()
	for became, v := range map[string]uint64{"taken": st.Admitted, "refused": st.Rejected, "served": st.Served, "declined": st.Declined, "failed": st.Failed, "lapsed": st.Expired} {
		counter(c.answers, v, became)
	}
	counter(c.attempts, st.Offers)
	c.collectProcess(out)
	gauge(c.open, float64(st.Open))
	gauge(c.running, float64(st.Held))
	gauge(c.shards, float64(n))
	if c.server.membership.runner != nil {
		c.server.membership.runner.WithDetector(func(d *membership.Detector) {
			alive, suspect, dead, left := d.Count()
			for state, v := range map[string]int{"alive": alive, "suspect": suspect, "dead": dead, "left": left} {
				gauge(c.members, float64(v), state)
			}
			counter(c.datagrams, d.Stats.Sent, "sent")
			counter(c.datagrams, d.Stats.Got, "got")
			counter(c.deaths, d.Stats.Deaths)
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
	f := make(chan consensus.Stats, 1)
	c.server.control.Enqueue(func(k *consensus.Replica) { f <- k.Stats })
	select {
	case f := <-f:
		counter(c.messages, f.Messages)
		counter(c.writes, f.Writes)
	case <-time.After(collectTimeout):
	}
}

// stats sums up what shards count, and tells how many answered.
func (s *Server) stats() (sum engine.Stats, shards int) {
	s.routerMu.Lock()
	all := s.liveShardsLocked()
	s.routerMu.Unlock()
	told := make(chan engine.Stats, len(all))
	asked := 0
	for _, sh := range all {
		if sh.post(func(float64) { told <- sh.engine.Stats() }) {
			asked++
		}
	}
	late := time.After(collectTimeout)
	for range asked {
		select {
		case st := <-told:
			shards++
			sum.Admitted += st.Admitted
			sum.Rejected += st.Rejected
			sum.Served += st.Served
			sum.Declined += st.Declined
			sum.Failed += st.Failed
			sum.Expired += st.Expired
			sum.Offers += st.Offers
			sum.Open += st.Open
			sum.Held += st.Held
		case <-late:
			return sum, shards
		}
	}
	return sum, shards
}

// serveMetrics serves the page of counts where the site file has an address for it. ended closes it and waits.
func (s *Server) serveMetrics(listen string) (address string, ended func(), err error) {
	if listen == "" {
		return "", func() {}, nil
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", nil, fmt.Errorf("counts: %w", err)
	}
	reg := prometheus.NewRegistry()
	err = errors.Join(reg.Register(newCounts(s)), reg.Register(collectors.NewGoCollector()),
		reg.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})))
	if err != nil {
		l.Close()
		return "", nil, fmt.Errorf("counts: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: httpTimeout}))
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: httpTimeout, ReadTimeout: httpTimeout, WriteTimeout: 2 * httpTimeout,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: maxHeaderBytes,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Str("mode", "counts").Err(err).Msg("page ended")
		}
	}()
	s.log.Info().Str("mode", "counts").Str("address", l.Addr().String()).Msg("page")
	return l.Addr().String(), func() {
		ctx, stop := context.WithTimeout(context.Background(), collectTimeout)
		defer stop()
		if srv.Shutdown(ctx) != nil {
			srv.Close()
		}
		<-done
	}, nil
}
