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

// Limits of the metrics server.
const (
	httpTimeout          = 2 * time.Second
	httpIdleTimeout      = 30 * time.Second
	closeTimeout         = 200 * time.Millisecond
	maxHeaderBytes       = 8 << 10
	maxConcurrentScrapes = 4
)

// metricsServer serves the metrics page on a TCP address. Its fields do not change after the start.
type metricsServer struct {
	address string        // where the server listens; empty: no metrics are served
	server  *http.Server  // nil if no metrics are served
	done    chan struct{} // closed when the goroutine that serves has ended
}

// startMetricsServer serves the metrics of collector on the address listen. It serves nothing if listen is empty.
func startMetricsServer(log zerolog.Logger, listen string, collector prometheus.Collector) (*metricsServer, error) {
	if listen == "" {
		return &metricsServer{}, nil
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("metrics server: %w", err)
	}
	registry := prometheus.NewRegistry()
	err = errors.Join(registry.Register(collector), registry.Register(collectors.NewGoCollector()),
		registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("metrics server: %w", err), listener.Close())
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
			log.Error().Str("mode", "counts").Err(err).Msg("metrics server ended unexpectedly")
		}
	}()
	log.Info().Str("mode", "counts").Str("address", m.address).Msg("metrics server listening")
	return m, nil
}

// close stops the server and waits until its goroutine has ended. Scrapes in progress may take up to closeTimeout to finish.
func (m *metricsServer) close() {
	if m.server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if m.server.Shutdown(ctx) != nil {
		_ = m.server.Close() // the listener is closed already, and an error from closing connections can't be handled
	}
	<-m.done
}
