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
	"github.com/rs/zerolog"
)

// Bounds of the metrics page.
const (
	httpTimeout          = 2 * time.Second
	httpIdleTimeout      = 30 * time.Second
	closeTimeout         = 200 * time.Millisecond
	maxHeaderBytes       = 8 << 10
	maxConcurrentScrapes = 4
)

// metricsServer serves the metrics page on a TCP address. Its fields do not change after it was started.
type metricsServer struct {
	address string // empty: no page
	server  *http.Server
	done    chan struct{} // closed when the serving goroutine has ended
}

// startMetricsServer serves what collector collects, unless listen is empty.
func startMetricsServer(log zerolog.Logger, listen string, collector prometheus.Collector) (*metricsServer, error) {
	if listen == "" {
		return &metricsServer{}, nil
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("counts: %w", err)
	}
	registry := prometheus.NewRegistry()
	err = errors.Join(registry.Register(collector), registry.Register(collectors.NewGoCollector()),
		registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("counts: %w", err), listener.Close())
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: httpTimeout}))
	m := &metricsServer{
		address: listener.Addr().String(),
		server: &http.Server{
			Handler: mux, ReadHeaderTimeout: httpTimeout, ReadTimeout: httpTimeout, WriteTimeout: 2 * httpTimeout,
			IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(m.done)
		if err := m.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Str("mode", "counts").Err(err).Msg("page ended")
		}
	}()
	log.Info().Str("mode", "counts").Str("address", m.address).Msg("page")
	return m, nil
}

// close ends the page and waits until its goroutine has ended. Scrapes under way get closeTimeout.
func (m *metricsServer) close() {
	if m.server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if m.server.Shutdown(ctx) != nil {
		_ = m.server.Close() // the listener is closed already; connections can't be closed any better
	}
	<-m.done
}
