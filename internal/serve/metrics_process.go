package serve

import (
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"ravenpond/internal/env"
)

// trafficCounter is a world that counts what passes through it, as that of sockets does.
type trafficCounter interface{ Traffic() []env.Traffic }

// collectProcess tells what the process as a whole used: CPU time, finer than the kernel's ticks, and its traffic.
func (c *metricsCollector) collectProcess(out chan<- prometheus.Metric) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		seconds := float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
		out <- prometheus.MustNewConstMetric(c.cpu, prometheus.CounterValue, seconds)
	}
	env, ok := c.server.env.(trafficCounter)
	if !ok {
		return
	}
	for _, flow := range env.Traffic() {
		kind := flow.Kind.String()
		for _, direction := range []struct {
			name            string
			messages, bytes uint64
		}{{"sent", flow.SentMessages, flow.SentBytes}, {"received", flow.ReceivedMessages, flow.ReceivedBytes}} {
			out <- prometheus.MustNewConstMetric(c.traffic, prometheus.CounterValue, float64(direction.messages), kind, direction.name)
			out <- prometheus.MustNewConstMetric(c.trafficBytes, prometheus.CounterValue, float64(direction.bytes), kind, direction.name)
		}
		out <- prometheus.MustNewConstMetric(c.connections, prometheus.GaugeValue, float64(flow.OpenConnections), kind)
		out <- prometheus.MustNewConstMetric(c.opened, prometheus.CounterValue, float64(flow.OpenedConnections), kind)
	}
}
