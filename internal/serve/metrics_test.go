package serve

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestMetricsPage reads the metrics page of a scheduler that has served requests. The page has to count them, to list a
// metric only once, and to leave out metrics of the cluster state, as there are no voters. It must not be served after the scheduler has stopped.
func TestMetricsPage(t *testing.T) {
	s := newTestCluster(t, 1, 4, false)
	addresses := make(chan string, 1)
	s.configure = func(config *Config) {
		ready := config.Ready
		config.OnLocalListener = func(l *LocalListener) { addresses <- l.server.metrics.address }
		config.Ready = ready
	}
	siteConfig := *s.siteConfig
	siteConfig.StatsListen = "127.0.0.1:0"
	s.start(0, siteConfig, Faults{})
	address := <-addresses
	s.load(4000, 60, "0001112")
	get := func(path string) (int, string) {
		t.Helper()
		r, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatal(err)
		}
		return r.StatusCode, string(b)
	}
	status, text := get("/metrics")
	served := 0.0
	for line := range strings.Lines(text) {
		if v, ok := strings.CutPrefix(line, `ravenpond_allocations_total{became="served",scheduler="s0"} `); ok {
			served += parseNumber(t, v)
		}
	}
	if status != http.StatusOK || served < 50 || strings.Count(text, "\nravenpond_tries_total{") != 1 || strings.Contains(text, "ravenpond_book") {
		t.Errorf("got status %d and %g served, want 200 and at least 50, with one line of ravenpond_tries_total and none of ravenpond_book: %.2000s", status, served, text)
	}
	if status, _ := get("/"); status != http.StatusNotFound {
		t.Errorf("got status %d for another path, want 404", status)
	}
	s.stop()
	s.running.Wait()
	if _, err := http.Get("http://" + address + "/metrics"); err == nil {
		t.Error("the metrics page is still served after the scheduler has stopped")
	}
}

func parseNumber(t *testing.T, text string) (v float64) {
	t.Helper()
	if _, err := fmt.Sscan(text, &v); err != nil {
		t.Fatal(err)
	}
	return v
}
