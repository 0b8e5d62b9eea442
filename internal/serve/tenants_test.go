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

// startHosting starts a scheduler with tenants a and b, and gives a way to their store and a token each.
func startHosting(t *testing.T) (s *testCluster, with func(do func(st *tenants.Store)), tokens map[string]string) {
	t.Helper()
	s = newTestCluster(t, 1, 4, false)
	place := *s.siteConfig
	place.Shards, place.MaxShards, place.MaxHostedTenants = 2, 2, 4
	place.Tenants, place.Shares = make([]string, 4), []float64{1, 1, 1, 1}
	folder := filepath.Join(s.dir, "s0")
	with = func(do func(st *tenants.Store)) {
		for {
			st, err := tenants.Open(folder, 4)
			if errors.Is(err, bolt.ErrLocked) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			do(st)
			st.Close()
			return
		}
	}
	tokens = map[string]string{}
	with(func(st *tenants.Store) {
		for _, name := range []string{"a", "b"} {
			if _, fault, err := st.Apply(time.Now(), "test", "", tenancy.Change{
				Kind: tenancy.Add, Name: name,
				Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 50}},
			}); fault != nil || err != nil {
				t.Fatal(fault, err)
			}
			var err error
			if tokens[name], err = st.IssueToken(time.Now(), "test", name, time.Hour); err != nil {
				t.Fatal(err)
			}
		}
	})
	s.world.WithLock(func(float64) {
		for _, n := range s.nodes {
			n.Tenants = 4
		}
	})
	s.start(0, place, Faults{})
	time.Sleep(1800 * time.Millisecond)
	return s, with, tokens
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

func (c *testClient) count(what string) int {
	return strings.Count(strings.Join(c.notifications(), "\n"), what)
}

// TestHosting has tenants ask with their tokens and without, and one paused, resumed and removed while it asks.
func TestHosting(t *testing.T) {
	t.Parallel()
	s, with, tokens := startHosting(t)
	addr := s.clients[0].SchedulerAddress()
	t.Run("who may ask", func(t *testing.T) {
		for _, c := range []struct {
			name, token, tenant string
			ok                  bool
		}{
			{"without a token", "", "a", false},
			{"with its own", tokens["a"], "a", true},
			{"for another tenant", tokens["b"], "a", false},
			{"with a token made up", strings.Repeat("x", len(tokens["a"])), "a", false},
			{"for nobody", tokens["a"], "", false},
		} {
			t.Run(c.name, func(t *testing.T) {
				o := connect(t, addr)
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
	})
	t.Run("who guesses is cut off", func(t *testing.T) {
		o := connect(t, addr)
		for range maxAuthFailures {
			if err := o.authenticate(tokens["a"][:13] + strings.Repeat("y", 32)); err == nil {
				t.Fatal("let in")
			}
		}
		waitFor(t, "cut off", func() bool {
			err := o.authenticate(tokens["a"])
			var e *jrpc2.Error
			return err != nil && !errors.As(err, &e)
		})
	})
	a, b := connect(t, addr), connect(t, addr)
	if a.authenticate(tokens["a"]) != nil || b.authenticate(tokens["b"]) != nil {
		t.Fatal("not let in")
	}
	change := func(k tenancy.Kind, e tenancy.RemovalMode) {
		with(func(st *tenants.Store) {
			if _, fault, err := st.Apply(time.Now(), "test", "", tenancy.Change{Kind: k, Name: "a", Removal: e}); fault != nil || err != nil {
				t.Fatal(fault, err)
			}
		})
	}
	const removed = "declined while removed"
	ref := uint64(1000)
	until := func(what, answer string) { // it asks until the scheduler has read what changed
		waitFor(t, what, func() bool {
			ref++
			if err := a.allocateFor("a", ref, "free"); err != nil {
				return what == removed // the removal may be over by now, and the token gone with it
			}
			time.Sleep(50 * time.Millisecond)
			return a.count(answer) > 0
		})
	}
	t.Run("paused and resumed", func(t *testing.T) {
		change(tenancy.Pause, 0)
		until("declined while paused", `"answer":"declined","why":"over-share"`)
		change(tenancy.Resume, 0)
		before := a.count(`"answer":"served"`)
		waitFor(t, "served again", func() bool {
			ref++
			_ = a.allocateFor("a", ref, "free")
			time.Sleep(50 * time.Millisecond)
			return a.count(`"answer":"served"`) > before
		})
	})
	t.Run("removed while it asks", func(t *testing.T) {
		const many = 60
		for i := range uint64(many) {
			if err := a.allocateFor("a", 100+i, []string{"free", "once"}[i%2]); err != nil {
				t.Fatal(err)
			}
		}
		change(tenancy.Remove, tenancy.StopRunning)
		until(removed, `"why":"tenant-removed"`)
		if err := b.allocateFor("b", 1, "free"); err != nil {
			t.Error(err)
		}
		waitFor(t, "all are answered", func() bool {
			for i := range many {
				if a.count(fmt.Sprintf(`answer{"ref":%d,`, 100+i)) != 1 {
					return false
				}
			}
			return true
		})
		waitFor(t, "the other is served", func() bool { return b.count(`"answer":"served"`) == 1 })
		waitFor(t, "nothing of it runs", func() bool {
			held := 0
			s.world.WithLock(func(float64) {
				for _, n := range s.nodes {
					held += n.Machine.TaskCount()
				}
			})
			return held <= 1 // the other's
		})
		for range 500 { // nodes had time to tell what they hold, then the removal is over
			var state tenancy.State
			with(func(st *tenants.Store) {
				all, err := st.Read()
				if err != nil {
					t.Fatal(err)
				}
				a, _ := all.Tenants.Get("a")
				state = a.State
			})
			if state == tenancy.Removed {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Error("the removal does not end")
	})
	if breaks, _ := s.violations(); len(breaks) > 0 {
		t.Error(breaks)
	}
}

// TestConnectionLimits bounds connections and bytes of each tenant, and callers that show no token; the other tenant notices nothing.
func TestConnectionLimits(t *testing.T) {
	t.Parallel()
	s, with, tokens := startHosting(t)
	addr := s.clients[0].SchedulerAddress()
	with(func(st *tenants.Store) {
		if _, fault, err := st.Apply(time.Now(), "test", "", tenancy.Change{Kind: tenancy.Limit, Name: "a", Limits: tenancy.Limits{
			Limits: fairqueue.Limits{Share: 1, MaxWaiting: 50}, MaxConns: 2, BytesPerSecond: 2000,
		}}); fault != nil || err != nil {
			t.Fatal(fault, err)
		}
	})
	a, b := connect(t, addr), connect(t, addr)
	if a.authenticate(tokens["a"]) != nil || b.authenticate(tokens["b"]) != nil {
		t.Fatal("not let in")
	}
	asks := uint64(0)
	served := func(what string) {
		t.Helper()
		asks++
		before := b.count(`"answer":"served"`)
		if err := b.allocateFor("b", asks, "free"); err != nil {
			t.Fatal(what, err)
		}
		waitFor(t, what, func() bool { return b.count(`"answer":"served"`) == before+1 })
	}
	t.Run("connections", func(t *testing.T) {
		var second *testClient
		waitFor(t, "a third is told that it is too many", func() bool {
			second = connect(t, addr)
			if second.authenticate(tokens["a"]) != nil { // those of the last round are not gone yet
				second.Close()
				return false
			}
			third := connect(t, addr)
			err := third.authenticate(tokens["a"])
			if err != nil && !strings.Contains(err.Error(), "as many connections") {
				t.Fatal(err)
			}
			if err == nil { // the limit has not been read
				second.Close()
				third.Close()
				return false
			}
			return third.allocateFor("a", 1, "free") != nil
		})
		second.Close()
		waitFor(t, "another when one has gone", func() bool { return connect(t, addr).authenticate(tokens["a"]) == nil })
		served("the other tenant")
	})
	t.Run("bytes", func(t *testing.T) {
		waitFor(t, "declined with a time to come back", func() bool {
			asks++
			_ = a.allocateFor("a", asks, "free")
			return a.count(`"why":"too-many-bytes","hold-off-ms":`) > 0
		})
		served("the other tenant")
		before := a.count(`"answer":"served"`)
		waitFor(t, "served again in time", func() bool {
			time.Sleep(700 * time.Millisecond)
			asks++
			return a.allocateFor("a", asks, "free") == nil && a.count(`"answer":"served"`) > before
		})
		waitFor(t, "ended when it goes on", func() bool {
			for range 50 {
				asks++
				if a.allocateFor("a", asks, "free") != nil {
					return true
				}
			}
			return false
		})
		served("the other tenant")
	})
	t.Run("no token", func(t *testing.T) {
		for range 400 { // more than may be there at once
			silent, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer silent.Close()
		}
		served("the other tenant")
		late := connect(t, addr)
		if err := late.authenticate(tokens["b"]); err != nil {
			t.Error(err)
		}
		long := connect(t, addr)
		waitFor(t, "one that shows none in time ends", func() bool {
			err := long.allocateFor("a", 1, "free")
			return err != nil && !strings.Contains(err.Error(), "not allowed")
		})
		served("the other tenant")
	})
}

// TestStartWhileHeld starts a scheduler while somebody changes the tenants: it waits for the store.
func TestStartWhileHeld(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 1, 2, false)
	place := *s.siteConfig
	place.MaxHostedTenants, place.Tenants, place.Shares = 2, make([]string, 2), []float64{1, 1}
	st, err := tenants.Open(filepath.Join(s.dir, "s0"), 2)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { st.Close() })
	s.start(0, place, Faults{}) // fails the test if the scheduler ends
}

// TestTLSListener asks over TLS; who speaks none, an older one, or begins a handshake and says no more gets no further, and keeps
// nobody out.
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
	s.configure = func(who *Config) { who.TLS = guard.ServerConfig() }
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
		defer silent.Close()
	}
	if c, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: pool, MaxVersion: tls.VersionTLS12}); err == nil {
		c.Close()
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
