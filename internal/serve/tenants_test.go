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
	tokens  map[string]string // a valid token of each tenant
	address string            // where clients connect
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
	h.world.WithLock(func(float64) {
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

// withStore opens the tenants' store for a call, once the scheduler does not have it open.
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

// change changes a tenant.
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
		t.Fatal("not let in")
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

// count returns how often a text is in the notifications.
func (c *testClient) count(what string) int {
	return strings.Count(strings.Join(c.notifications(), "\n"), what)
}

// TestTenantHosting has tenants request with their tokens and without, and one paused, resumed and removed while it requests.
func TestTenantHosting(t *testing.T) {
	t.Parallel()
	h := startHosting(t)
	t.Run("who may ask", h.testAccess)
	t.Run("who guesses is cut off", h.testGuessing)
	r := &removalTest{hostingTest: h, a: h.connectAs(t, "a"), b: h.connectAs(t, "b"), lastRef: 1000}
	t.Run("paused and resumed", r.testPause)
	t.Run("removed while it asks", r.testRemoval)
	if breaks, _ := h.violations(); len(breaks) > 0 {
		t.Error(breaks)
	}
}

// testAccess requests with tokens and tenants that fit, and that do not.
func (h *hostingTest) testAccess(t *testing.T) {
	for _, c := range []struct {
		name, token, tenant string
		ok                  bool
	}{
		{"without a token", "", "a", false},
		{"with its own", h.tokens["a"], "a", true},
		{"for another tenant", h.tokens["b"], "a", false},
		{"with a token made up", strings.Repeat("x", len(h.tokens["a"])), "a", false},
		{"for nobody", h.tokens["a"], "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := connect(t, h.address)
			if c.token != "" {
				_ = o.authenticate(c.token)
			}
			err := o.allocateFor(c.tenant, 1, "free")
			if (err == nil) != c.ok || err != nil && !strings.Contains(err.Error(), "not allowed") {
				t.Fatal(err)
			}
			if c.ok {
				waitFor(t, "served", func() bool { return o.count(`"answer":"served"`) == 1 })
			}
		})
	}
}

// testGuessing shows invalid tokens until the connection is closed.
func (h *hostingTest) testGuessing(t *testing.T) {
	o := connect(t, h.address)
	for range maxAuthFailures {
		if err := o.authenticate(h.tokens["a"][:13] + strings.Repeat("y", 32)); err == nil {
			t.Fatal("let in")
		}
	}
	waitFor(t, "cut off", func() bool {
		err := o.authenticate(h.tokens["a"])
		var e *jrpc2.Error
		return err != nil && !errors.As(err, &e)
	})
}

// removalTest pauses, resumes and removes tenant a while clients of both tenants request.
type removalTest struct {
	*hostingTest
	a, b    *testClient // clients of the tenants a and b
	lastRef uint64      // of client a
}

func (r *removalTest) changeA(t *testing.T, kind tenancy.Kind, removal tenancy.RemovalMode) {
	t.Helper()
	r.change(t, tenancy.Change{Kind: kind, Name: "a", Removal: removal})
}

const removed = "declined while removed"

// requestUntil has client a request until the scheduler has read what changed, and answers so.
func (r *removalTest) requestUntil(t *testing.T, what, answer string) {
	t.Helper()
	waitFor(t, what, func() bool {
		r.lastRef++
		if err := r.a.allocateFor("a", r.lastRef, "free"); err != nil {
			return what == removed // the removal may be over by now, and the token gone with it
		}
		time.Sleep(50 * time.Millisecond)
		return r.a.count(answer) > 0
	})
}

func (r *removalTest) testPause(t *testing.T) {
	r.changeA(t, tenancy.Pause, 0)
	r.requestUntil(t, "declined while paused", `"answer":"declined","why":"over-share"`)
	r.changeA(t, tenancy.Resume, 0)
	before := r.a.count(`"answer":"served"`)
	waitFor(t, "served again", func() bool {
		r.lastRef++
		_ = r.a.allocateFor("a", r.lastRef, "free")
		time.Sleep(50 * time.Millisecond)
		return r.a.count(`"answer":"served"`) > before
	})
}

func (r *removalTest) testRemoval(t *testing.T) {
	const many = 60
	for i := range uint64(many) {
		if err := r.a.allocateFor("a", 100+i, []string{"free", "once"}[i%2]); err != nil {
			t.Fatal(err)
		}
	}
	r.changeA(t, tenancy.Remove, tenancy.StopRunning)
	r.requestUntil(t, removed, `"why":"tenant-removed"`)
	if err := r.b.allocateFor("b", 1, "free"); err != nil {
		t.Error(err)
	}
	waitFor(t, "all are answered", func() bool {
		for i := range many {
			if r.a.count(fmt.Sprintf(`answer{"ref":%d,`, 100+i)) != 1 {
				return false
			}
		}
		return true
	})
	waitFor(t, "the other is served", func() bool { return r.b.count(`"answer":"served"`) == 1 })
	waitFor(t, "nothing of it runs", func() bool {
		return r.runningTasks() <= 1 // the other's
	})
	for range 500 { // nodes had time to report what they hold, then the removal is over
		if r.stateOfA(t) == tenancy.Removed {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the removal does not end")
}

// runningTasks counts the tasks on all nodes.
func (r *removalTest) runningTasks() (tasks int) {
	r.world.WithLock(func(float64) {
		for _, n := range r.nodes {
			tasks += n.Machine.TaskCount()
		}
	})
	return tasks
}

// stateOfA reads the state of tenant a.
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

// TestConnectionLimits bounds connections and bytes of each tenant, and clients that show no token. The other tenant notices nothing.
func TestConnectionLimits(t *testing.T) {
	t.Parallel()
	h := startHosting(t)
	h.change(t, tenancy.Change{Kind: tenancy.Limit, Name: "a", Limits: tenancy.Limits{
		Limits: fairqueue.Limits{Share: 1, MaxWaiting: 50}, MaxConns: 2, BytesPerSecond: 2000,
	}})
	l := &limitsTest{hostingTest: h, a: h.connectAs(t, "a"), b: h.connectAs(t, "b")}
	t.Run("connections", l.testConnections)
	t.Run("bytes", l.testBytes)
	t.Run("no token", l.testUnauthenticated)
}

// limitsTest exceeds the limits of tenant a while tenant b requests.
type limitsTest struct {
	*hostingTest
	a, b    *testClient // clients of the tenants a and b
	lastRef uint64
}

// serveOther has tenant b request, and waits until it is served.
func (l *limitsTest) serveOther(t *testing.T) {
	t.Helper()
	const what = "the other tenant"
	l.lastRef++
	before := l.b.count(`"answer":"served"`)
	if err := l.b.allocateFor("b", l.lastRef, "free"); err != nil {
		t.Fatal(what, err)
	}
	waitFor(t, what, func() bool { return l.b.count(`"answer":"served"`) == before+1 })
}

func (l *limitsTest) testConnections(t *testing.T) {
	var second *testClient
	waitFor(t, "a third is told that it is too many", func() bool {
		second = connect(t, l.address)
		if second.authenticate(l.tokens["a"]) != nil { // those of the last round are not gone yet
			_ = second.Close()
			return false
		}
		third := connect(t, l.address)
		err := third.authenticate(l.tokens["a"])
		if err != nil && !strings.Contains(err.Error(), "as many connections") {
			t.Fatal(err)
		}
		if err == nil { // the limit has not been read
			_ = second.Close()
			_ = third.Close()
			return false
		}
		return third.allocateFor("a", 1, "free") != nil
	})
	_ = second.Close()
	waitFor(t, "another when one has gone", func() bool { return connect(t, l.address).authenticate(l.tokens["a"]) == nil })
	l.serveOther(t)
}

func (l *limitsTest) testBytes(t *testing.T) {
	waitFor(t, "declined with a time to come back", func() bool {
		l.lastRef++
		_ = l.a.allocateFor("a", l.lastRef, "free")
		return l.a.count(`"why":"too-many-bytes","hold-off-ms":`) > 0
	})
	l.serveOther(t)
	before := l.a.count(`"answer":"served"`)
	waitFor(t, "served again in time", func() bool {
		time.Sleep(700 * time.Millisecond)
		l.lastRef++
		return l.a.allocateFor("a", l.lastRef, "free") == nil && l.a.count(`"answer":"served"`) > before
	})
	waitFor(t, "ended when it goes on", func() bool {
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
	for range 400 { // more than may be there at once
		silent, err := net.Dial("tcp", l.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
	}
	l.serveOther(t)
	late := connect(t, l.address)
	if err := late.authenticate(l.tokens["b"]); err != nil {
		t.Error(err)
	}
	long := connect(t, l.address)
	waitFor(t, "one that shows none in time ends", func() bool {
		err := long.allocateFor("a", 1, "free")
		return err != nil && !strings.Contains(err.Error(), "not allowed")
	})
	l.serveOther(t)
}

// TestStartWhileTenantStoreLocked starts a scheduler while somebody changes the tenants: it waits for the store.
func TestStartWhileTenantStoreLocked(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, 2, false)
	siteConfig := *s.siteConfig
	siteConfig.MaxHostedTenants, siteConfig.Tenants, siteConfig.Shares = 2, make([]string, 2), []float64{1, 1}
	st, err := tenants.Open(filepath.Join(s.dir, "s0"), 2)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { _ = st.Close() })
	s.start(0, siteConfig, Faults{}) // fails the test if the scheduler ends
}

// TestTLSListener requests over TLS. Clients without TLS, with an older version, or that stop in the handshake get no further, and keep no
// other out.
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
	for range 200 { // more than may be under way
		silent, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
	}
	if c, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: pool, MaxVersion: tls.VersionTLS12}); err == nil {
		_ = c.Close()
		t.Error("an older TLS was spoken")
	}
	plain := connect(t, addr)
	if err := plain.allocate(1, "free", "p"); err == nil {
		t.Error("asked without TLS")
	}
	for _, again := range []bool{false, true} { // with the certificate of the start, and with another that was put there since
		if again {
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
		if err := c.allocate(1, "free", fmt.Sprint("k", again)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "served", func() bool { return c.count(`"answer":"served"`) == 1 })
	}
}
