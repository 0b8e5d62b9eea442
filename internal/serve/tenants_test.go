package serve

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/keys"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// hostingTest is a cluster whose scheduler hosts tenants a and b.
type hostingTest struct {
	*testCluster
	folder  string            // the scheduler's state folder
	tokens  map[string]string // a valid token of each tenant, by name
	address string            // of the client listener
}

// startHosting starts a scheduler with tenants a and b.
func startHosting(t *testing.T) *hostingTest {
	t.Helper()
	h := &hostingTest{testCluster: newTestCluster(t, 1, 4, false), tokens: map[string]string{}}
	h.folder = filepath.Join(h.dir, "s0")
	for _, name := range []string{"a", "b"} {
		h.change(t, tenancy.Change{
			Kind: tenancy.Add, Name: name,
			Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 50}},
		})
		h.withStore(t, func(store *tenants.Store) {
			var err error
			if h.tokens[name], err = store.IssueToken(time.Now(), "test", name, time.Hour); err != nil {
				t.Fatal(err)
			}
		})
	}
	h.testbed.WithLock(func(float64) {
		for _, n := range h.nodes {
			n.Tenants = 4
		}
	})
	siteConfig := *h.siteConfig
	siteConfig.Shards, siteConfig.MaxShards, siteConfig.MaxHostedTenants = 2, 2, 4
	siteConfig.Tenants, siteConfig.Shares = make([]string, 4), []float64{1, 1, 1, 1}
	h.start(0, siteConfig, Faults{})
	time.Sleep(1800 * time.Millisecond)
	h.address = h.clients[0].SchedulerAddress()
	return h
}

// withStore opens the tenant store for the call of do, as soon as the scheduler does not have it open.
func (h *hostingTest) withStore(t *testing.T, do func(store *tenants.Store)) {
	t.Helper()
	for {
		store, err := tenants.Open(h.folder, 4)
		if errors.Is(err, bolt.ErrLocked) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		do(store)
		_ = store.Close()
		return
	}
}

// change applies a change of a tenant to the store.
func (h *hostingTest) change(t *testing.T, change tenancy.Change) {
	t.Helper()
	h.withStore(t, func(store *tenants.Store) {
		if _, fault, err := store.Apply(time.Now(), "test", "", change); fault != nil || err != nil {
			t.Fatal(fault, err)
		}
	})
}

// connectAs connects a client that authenticates as a tenant.
func (h *hostingTest) connectAs(t *testing.T, tenant string) *testClient {
	t.Helper()
	c := connect(t, h.address)
	if c.authenticate(h.tokens[tenant]) != nil {
		t.Fatal("authentication with a valid token failed")
	}
	return c
}

func (c *testClient) authenticate(token string) error {
	_, err := c.Call(context.Background(), "authenticate", map[string]any{"token": token})
	return err
}

func (c *testClient) allocateFor(tenant string, ref uint64, job string) error {
	_, err := c.Call(context.Background(), "allocate", map[string]any{
		"ref": ref, "tenant": tenant, "key": fmt.Sprint(tenant, ref),
		"job-type": job, "service": "s" + tenant, "cores": 1, "memory": 1,
	})
	return err
}

// count returns how many times a text occurs in the notifications.
func (c *testClient) count(what string) int {
	return strings.Count(strings.Join(c.notifications(), "\n"), what)
}

// TestTenantHosting sends requests with and without tokens, and pauses, resumes and removes a tenant while it sends requests.
func TestTenantHosting(t *testing.T) {
	t.Parallel()
	h := startHosting(t)
	t.Run("requests need a matching token", h.testAccess)
	t.Run("connection is closed after invalid tokens", h.testGuessing)
	r := &removalTest{hostingTest: h, a: h.connectAs(t, "a"), b: h.connectAs(t, "b"), lastRef: 1000}
	t.Run("paused and resumed", r.testPause)
	t.Run("removed while sending requests", r.testRemoval)
	if violations, _ := h.violations(); len(violations) > 0 {
		t.Error(violations)
	}
}

// testAccess sends requests with tokens that match the tenant, and with tokens that do not.
func (h *hostingTest) testAccess(t *testing.T) {
	for _, c := range []struct {
		name, token, tenant string
		ok                  bool
	}{
		{"without a token", "", "a", false},
		{"with the tenant's own token", h.tokens["a"], "a", true},
		{"with another tenant's token", h.tokens["b"], "a", false},
		{"with an unknown token", strings.Repeat("x", len(h.tokens["a"])), "a", false},
		{"without a tenant", h.tokens["a"], "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := connect(t, h.address)
			if c.token != "" {
				_ = client.authenticate(c.token)
			}
			err := client.allocateFor(c.tenant, 1, "free")
			if (err == nil) != c.ok || err != nil && !strings.Contains(err.Error(), "not allowed") {
				t.Fatal(err)
			}
			if c.ok {
				waitFor(t, "the request is served", func() bool { return client.count(`"answer":"served"`) == 1 })
			}
		})
	}
}

// testGuessing authenticates with invalid tokens until the connection is closed.
func (h *hostingTest) testGuessing(t *testing.T) {
	client := connect(t, h.address)
	for range maxAuthFailures {
		if err := client.authenticate(h.tokens["a"][:13] + strings.Repeat("y", 32)); err == nil {
			t.Fatal("authentication with an invalid token succeeded")
		}
	}
	waitFor(t, "the connection is closed", func() bool {
		err := client.authenticate(h.tokens["a"])
		var e *jrpc2.Error
		return err != nil && !errors.As(err, &e)
	})
}

// removalTest pauses, resumes and removes tenant a while clients of both tenants send requests.
type removalTest struct {
	*hostingTest
	a, b    *testClient // clients of the tenants a and b
	lastRef uint64      // last request id of client a
}

func (r *removalTest) changeA(t *testing.T, kind tenancy.Kind, removal tenancy.RemovalMode) {
	t.Helper()
	r.change(t, tenancy.Change{Kind: kind, Name: "a", Removal: removal})
}

const declinedWhileRemoved = "a request of a removed tenant is declined"

// requestUntil sends requests of client a until the scheduler has read the change of the tenant and gives the answer that follows from it.
func (r *removalTest) requestUntil(t *testing.T, what, answer string) {
	t.Helper()
	waitFor(t, what, func() bool {
		r.lastRef++
		if err := r.a.allocateFor("a", r.lastRef, "free"); err != nil {
			return what == declinedWhileRemoved // if the removal is finished, the token is no longer valid
		}
		time.Sleep(50 * time.Millisecond)
		return r.a.count(answer) > 0
	})
}

func (r *removalTest) testPause(t *testing.T) {
	r.changeA(t, tenancy.Pause, 0)
	r.requestUntil(t, "a request of a paused tenant is declined", `"answer":"declined","why":"over-share"`)
	r.changeA(t, tenancy.Resume, 0)
	before := r.a.count(`"answer":"served"`)
	waitFor(t, "a request of the resumed tenant is served", func() bool {
		r.lastRef++
		_ = r.a.allocateFor("a", r.lastRef, "free")
		time.Sleep(50 * time.Millisecond)
		return r.a.count(`"answer":"served"`) > before
	})
}

func (r *removalTest) testRemoval(t *testing.T) {
	const requests = 60
	for i := range uint64(requests) {
		if err := r.a.allocateFor("a", 100+i, []string{"free", "once"}[i%2]); err != nil {
			t.Fatal(err)
		}
	}
	r.changeA(t, tenancy.Remove, tenancy.StopRunning)
	r.requestUntil(t, declinedWhileRemoved, `"why":"tenant-removed"`)
	if err := r.b.allocateFor("b", 1, "free"); err != nil {
		t.Error(err)
	}
	waitFor(t, "each request has exactly one answer", func() bool {
		for i := range requests {
			if r.a.count(fmt.Sprintf(`answer{"ref":%d,`, 100+i)) != 1 {
				return false
			}
		}
		return true
	})
	waitFor(t, "the other tenant's request is served", func() bool { return r.b.count(`"answer":"served"`) == 1 })
	waitFor(t, "no task of the removed tenant runs", func() bool {
		return r.runningTasks() <= 1 // the other tenant's task may run
	})
	for range 500 { // the removal is finished after nodes had time to report what they hold
		if r.stateOfA(t) == tenancy.Removed {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the removal of tenant a was not finished within 25 s")
}

// runningTasks returns the number of tasks on all nodes.
func (r *removalTest) runningTasks() (tasks int) {
	r.testbed.WithLock(func(float64) {
		for _, n := range r.nodes {
			tasks += n.Machine.TaskCount()
		}
	})
	return tasks
}

// stateOfA reads the state of tenant a from the store.
func (r *removalTest) stateOfA(t *testing.T) (state tenancy.State) {
	t.Helper()
	r.withStore(t, func(store *tenants.Store) {
		all, err := store.Read()
		if err != nil {
			t.Fatal(err)
		}
		a, _ := all.Tenants.Get("a")
		state = a.State
	})
	return state
}

// TestConnectionLimits exceeds a tenant's limits on connections and bytes, and opens connections that show no token. Requests of the other
// tenant have to be served throughout.
func TestConnectionLimits(t *testing.T) {
	t.Parallel()
	h := startHosting(t)
	h.change(t, tenancy.Change{Kind: tenancy.Limit, Name: "a", Limits: tenancy.Limits{
		Limits: fairqueue.Limits{Share: 1, MaxWaiting: 50}, MaxConns: 2, BytesPerSecond: 2000,
	}})
	l := &limitsTest{hostingTest: h, a: h.connectAs(t, "a"), b: h.connectAs(t, "b")}
	t.Run("connections", l.testConnections)
	t.Run("bytes", l.testBytes)
	t.Run("unauthenticated connections", l.testUnauthenticated)
}

// limitsTest exceeds the limits of tenant a while tenant b sends requests.
type limitsTest struct {
	*hostingTest
	a, b    *testClient // clients of the tenants a and b
	lastRef uint64      // last request id of both clients
}

// serveOther sends a request of tenant b, and waits until it is served.
func (l *limitsTest) serveOther(t *testing.T) {
	t.Helper()
	const what = "a request of the other tenant is served"
	l.lastRef++
	before := l.b.count(`"answer":"served"`)
	if err := l.b.allocateFor("b", l.lastRef, "free"); err != nil {
		t.Fatal(what, err)
	}
	waitFor(t, what, func() bool { return l.b.count(`"answer":"served"`) == before+1 })
}

func (l *limitsTest) testConnections(t *testing.T) {
	var second *testClient
	waitFor(t, "a third connection of the tenant is refused", func() bool {
		second = connect(t, l.address)
		if second.authenticate(l.tokens["a"]) != nil { // connections of the previous attempt are still open
			_ = second.Close()
			return false
		}
		third := connect(t, l.address)
		err := third.authenticate(l.tokens["a"])
		if err != nil && !strings.Contains(err.Error(), "as many connections") {
			t.Fatal(err)
		}
		if err == nil { // the scheduler has not read the limit yet
			_ = second.Close()
			_ = third.Close()
			return false
		}
		return third.allocateFor("a", 1, "free") != nil
	})
	_ = second.Close()
	waitFor(t, "a connection is accepted after another was closed", func() bool { return connect(t, l.address).authenticate(l.tokens["a"]) == nil })
	l.serveOther(t)
}

func (l *limitsTest) testBytes(t *testing.T) {
	waitFor(t, "a request is declined for too many bytes, with a time to hold off", func() bool {
		l.lastRef++
		_ = l.a.allocateFor("a", l.lastRef, "free")
		return l.a.count(`"why":"too-many-bytes","hold-off-ms":`) > 0
	})
	l.serveOther(t)
	before := l.a.count(`"answer":"served"`)
	waitFor(t, "a request is served after the hold-off time", func() bool {
		time.Sleep(700 * time.Millisecond)
		l.lastRef++
		return l.a.allocateFor("a", l.lastRef, "free") == nil && l.a.count(`"answer":"served"`) > before
	})
	waitFor(t, "the connection is closed after more requests", func() bool {
		for range 50 {
			l.lastRef++
			if l.a.allocateFor("a", l.lastRef, "free") != nil {
				return true
			}
		}
		return false
	})
	l.serveOther(t)
}

func (l *limitsTest) testUnauthenticated(t *testing.T) {
	for range 400 { // more unauthenticated connections than may be open at once
		silent, err := net.Dial("tcp", l.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
	}
	l.serveOther(t)
	authenticated := connect(t, l.address)
	if err := authenticated.authenticate(l.tokens["b"]); err != nil {
		t.Error(err)
	}
	unauthenticated := connect(t, l.address)
	waitFor(t, "a connection that shows no token in time is closed", func() bool {
		err := unauthenticated.allocateFor("a", 1, "free")
		return err != nil && !strings.Contains(err.Error(), "not allowed")
	})
	l.serveOther(t)
}

// TestStartWhileTenantStoreLocked starts a scheduler while the tenant store is open elsewhere. The scheduler has to wait for the store.
func TestStartWhileTenantStoreLocked(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, 2, false)
	siteConfig := *s.siteConfig
	siteConfig.MaxHostedTenants, siteConfig.Tenants, siteConfig.Shares = 2, make([]string, 2), []float64{1, 1}
	store, err := tenants.Open(filepath.Join(s.dir, "s0"), 2)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { _ = store.Close() })
	s.start(0, siteConfig, Faults{}) // start fails the test if the scheduler ends
}

// TestTLSListener sends requests over TLS. Clients without TLS, with an older version of TLS, or that stop during the handshake have to be
// refused, and must not keep other clients from connecting.
func TestTLSListener(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), "keys")
	ca, err := keys.Init(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ca.Issue(time.Now(), keys.Subject{Name: "server", Hosts: []string{"127.0.0.1"}, Lifetime: time.Hour}); err != nil {
		t.Fatal(err)
	}
	guard, err := keys.NewGuard(dir, "server")
	if err != nil {
		t.Fatal(err)
	}
	s := newTestCluster(t, 1, 4, false)
	s.configure = func(config *Config) { config.TLS = guard.ServerConfig() }
	s.start(0, *s.siteConfig, Faults{})
	time.Sleep(1800 * time.Millisecond)
	addr := s.clients[0].SchedulerAddress()
	cas, err := keys.Certificates(filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cas[0])
	for range 200 { // more handshakes than may be in progress at once
		silent, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
	}
	if c, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: pool, MaxVersion: tls.VersionTLS12}); err == nil {
		_ = c.Close()
		t.Error("a connection with TLS 1.2 was accepted, want a refusal")
	}
	plain := connect(t, addr)
	if err := plain.allocate(1, "free", "p"); err == nil {
		t.Error("a request without TLS was accepted")
	}
	for _, renewed := range []bool{false, true} { // first with the certificate from the start, then with a renewed one
		if renewed {
			if _, err := ca.Issue(time.Now(), keys.Subject{Name: "server", Hosts: []string{"127.0.0.1"}, Lifetime: time.Hour}); err != nil {
				t.Fatal(err)
			}
			if err := guard.Load(); err != nil {
				t.Fatal(err)
			}
		}
		conn, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: pool})
		if err != nil {
			t.Fatal(err)
		}
		c := newTestClient(t, conn)
		if err := c.allocate(1, "free", fmt.Sprint("k", renewed)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the request is served", func() bool { return c.count(`"answer":"served"`) == 1 })
	}
}
