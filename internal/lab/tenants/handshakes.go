package tenants

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"time"

	"ravenpond/internal/keys"
)

// newAuthority creates a certificate authority for a trial. It returns the TLS configuration of a server and a function that connects to it.
func newAuthority(folder string) (server *tls.Config, connect func(context.Context, string) (net.Conn, error), err error) {
	ca, err := keys.Init(folder, time.Now())
	if err != nil {
		return nil, nil, err
	}
	if _, err := ca.Issue(time.Now(), keys.Subject{Name: "server", Hosts: []string{"127.0.0.1"}, Lifetime: time.Hour}); err != nil {
		return nil, nil, err
	}
	guard, err := keys.NewGuard(folder, "server")
	if err != nil {
		return nil, nil, err
	}
	cas, err := keys.Certificates(filepath.Join(folder, "ca.pem"))
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	for _, c := range cas {
		pool.AddCert(c)
	}
	d := tls.Dialer{Config: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return guard.ServerConfig(), func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }, nil
}

// handshakeRetryDelay is the time between the end of a stalled connection and the next one.
const handshakeRetryDelay = time.Second

// stallHandshakes connects and begins a TLS handshake without completing it, and does so again whenever the server closes the connection.
func stallHandshakes(ctx context.Context, end time.Time, addr string) {
	ctx, stop := context.WithDeadline(ctx, end)
	defer stop()
	var d net.Dialer
	for ctx.Err() == nil {
		if c, err := d.DialContext(ctx, "tcp", addr); err == nil {
			_ = c.SetDeadline(end)
			_, _ = c.Write([]byte{22, 3, 1}) // the first bytes of a TLS record with a ClientHello
			_, _ = c.Read(make([]byte, 1))   // returns when the server closes the connection
			c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(handshakeRetryDelay):
		}
	}
}

// Handshakes compares two trials with clients over TLS and without a flood: one without and one with a number of open handshakes that are never
// completed. It returns by what factor the start latency grew at the median and at the 99th percentile, and the number of unanswered requests.
func Handshakes(ctx context.Context, out io.Writer, day Trial, open int) (p50Ratio, p99Ratio float64, unanswered int, err error) {
	day.TLS, day.Flood = true, 0
	fmt.Fprintf(out, "%d tenants, %d nodes of %d cores, %d shards, %s a day, owners over TLS\n", day.Tenants, day.Nodes, cores, day.Shards, day.Duration)
	fmt.Fprintf(out, "%10s %8s %8s %8s %8s %8s %10s\n", "half-open", "asked", "served", "p50 ms", "p99 ms", "max ms", "unanswered")
	var p50, p99 [2]float64
	for i, n := range []int{0, open} {
		day.HalfOpen = n
		all, err := Play(ctx, day)
		if err != nil {
			return 0, 0, 0, err
		}
		requests, withoutAnswer := 0, 0
		var latencies []float64
		for _, g := range all {
			requests, withoutAnswer, latencies = requests+g.Requests, withoutAnswer+g.Unanswered, append(latencies, g.latencies...)
		}
		if len(latencies) == 0 {
			return 0, 0, 0, fmt.Errorf("no request was served with %d half-open handshakes", n)
		}
		slices.Sort(latencies)
		at := func(q float64) float64 { return latencies[int(q*float64(len(latencies)-1))] }
		p50[i], p99[i], unanswered = at(0.5), at(0.99), unanswered+withoutAnswer
		fmt.Fprintf(out, "%10d %8d %8d %8.2f %8.2f %8.1f %10d\n", n, requests, len(latencies), p50[i], p99[i], at(1), withoutAnswer)
	}
	p50Ratio, p99Ratio = p50[1]/p50[0], p99[1]/p99[0]
	fmt.Fprintf(out, "with half-open handshakes: p50 %.2f, p99 %.2f times as long\n", p50Ratio, p99Ratio)
	return p50Ratio, p99Ratio, unanswered, nil
}
