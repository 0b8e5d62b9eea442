package admin

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"ravenpond/internal/decide/access"
	"ravenpond/internal/keys"
	pb "ravenpond/internal/proto/admin"
	"ravenpond/internal/state/tenants"
)

// testServer is a server with a certificate authority that has issued a certificate for each of identities.
type testServer struct {
	t     *testing.T
	dir   string
	ca    *keys.Authority
	guard *keys.Guard
	addr  string
}

// identities are the callers of the tests, one for each role.
var identities = []keys.Subject{
	{Name: "operator", Role: access.Operator},
	{Name: "reader", Role: access.Reader},
	{Name: "tenant-admin", Role: access.TenantAdmin, Tenant: "a"},
	{Name: "tenant-reader", Role: access.TenantReader, Tenant: "a"},
}

// startServer starts a server that serves until the test ends.
func startServer(t *testing.T) *testServer {
	t.Helper()
	ts := &testServer{t: t, dir: t.TempDir()}
	var err error
	if ts.ca, err = keys.Init(filepath.Join(ts.dir, "keys"), time.Now()); err != nil {
		t.Fatal(err)
	}
	ts.issue(keys.Subject{Name: "server", Hosts: []string{"127.0.0.1"}})
	for _, person := range identities {
		ts.issue(person)
	}
	if ts.guard, err = keys.NewGuard(filepath.Join(ts.dir, "keys"), "server"); err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Open: func() (*tenants.Store, error) { return tenants.Open(filepath.Join(ts.dir, "state"), 8) }, Guard: ts.guard,
		Log: zerolog.Nop(), Now: time.Now,
	}
	ctx, stop := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- s.Serve(ctx, "127.0.0.1:0", func(a string) { ready <- a }) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	ts.addr = <-ready
	return ts
}

// issue issues a certificate, valid for an hour unless the subject has a lifetime.
func (ts *testServer) issue(subject keys.Subject) {
	ts.t.Helper()
	if subject.Lifetime == 0 {
		subject.Lifetime = time.Hour
	}
	if _, err := ts.ca.Issue(time.Now(), subject); err != nil {
		ts.t.Fatal(err)
	}
}

// clientOf returns a client that uses the certificate of the given name.
func (ts *testServer) clientOf(name string) pb.TenantsClient {
	ts.t.Helper()
	creds, err := keys.ClientCredentials(filepath.Join(ts.dir, "keys"), name)
	if err != nil {
		ts.t.Fatal(err)
	}
	return ts.clientWith(creds)
}

// clientWith returns a client that uses the given credentials.
func (ts *testServer) clientWith(creds credentials.TransportCredentials) pb.TenantsClient {
	ts.t.Helper()
	conn, err := grpc.NewClient(ts.addr, grpc.WithTransportCredentials(creds))
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() { _ = conn.Close() })
	return pb.NewTenantsClient(conn)
}

// shortContext returns a context that ends after four seconds.
func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
	t.Cleanup(stop)
	return ctx
}

func TestRoles(t *testing.T) {
	ts := startServer(t)
	operator := ts.clientOf("operator")
	for _, name := range []string{"a", "b"} {
		if _, err := operator.Add(shortContext(t), &pb.AddRequest{Name: name}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name      string
		call      func(c pb.TenantsClient, ctx context.Context) error
		permitted string // for each of identities, in order: + the call succeeds, - it is not allowed
	}{
		{"get tenant a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Get(ctx, &pb.GetRequest{Name: "a"})
			return err
		}, "++++"},
		{"get tenant b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Get(ctx, &pb.GetRequest{Name: "b"})
			return err
		}, "++--"},
		{"pause tenant a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Pause(ctx, &pb.ChangeRequest{Name: "a"})
			return err
		}, "+-+-"},
		{"pause tenant b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Pause(ctx, &pb.ChangeRequest{Name: "b"})
			return err
		}, "+---"},
		{"limit tenant a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Limit(ctx, &pb.LimitRequest{Name: "a"})
			return err
		}, "+---"},
		{"issue a token for tenant a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.IssueToken(ctx, &pb.IssueTokenRequest{Name: "a", LastsS: 60})
			return err
		}, "+-+-"},
		{"issue a token for tenant b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.IssueToken(ctx, &pb.IssueTokenRequest{Name: "b", LastsS: 60})
			return err
		}, "+---"},
		{"read the audit log", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Records(ctx, &pb.RecordsRequest{})
			return err
		}, "++--"},
		{"remove tenant b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Remove(ctx, &pb.RemoveRequest{Name: "b"})
			return err
		}, "+---"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := len(identities) - 1; i >= 0; i-- { // the identity with the most permissions is last, as it removes the tenant
				err := c.call(ts.clientOf(identities[i].Name), shortContext(t))
				if want := c.permitted[i] == '+'; (err == nil) != want || !want && (status.Code(err) != codes.PermissionDenied ||
					status.Convert(err).Message() != "not allowed") {
					t.Errorf("call as %s: got error %v, want success or \"not allowed\" as the case says", identities[i].Name, err)
				}
			}
		})
	}
	checkVisible(t, ts)
}

// checkVisible checks how many of the tenants a and b are listed to each of identities.
func checkVisible(t *testing.T, ts *testServer) {
	t.Helper()
	for name, want := range map[string]int{"operator": 2, "reader": 2, "tenant-admin": 1, "tenant-reader": 1} {
		if got, err := ts.clientOf(name).List(shortContext(t), &pb.ListRequest{}); err != nil || len(got.Tenants) != want {
			t.Errorf("list as %s: got %d tenants, want %d; error %v", name, len(got.GetTenants()), want, err)
		}
	}
}

func TestChanges(t *testing.T) {
	ts := startServer(t)
	operator, share := ts.clientOf("operator"), 3.0
	first, err := operator.Add(shortContext(t), &pb.AddRequest{Name: "a", Limits: &pb.Limits{Share: &share}, RequestId: "r1"})
	if err != nil || first.Limits.GetShare() != 3 || first.Limits.GetWait() != int64(defaultLimits.MaxWaiting) || first.State != pb.State_ACTIVE {
		t.Fatal(first, err)
	}
	if again, err := operator.Add(shortContext(t), &pb.AddRequest{Name: "a", Limits: &pb.Limits{Share: &share}, RequestId: "r1"}); err != nil || again.Version != first.Version {
		t.Error(again, err)
	}
	open, bad := int64(7), -1.0
	if got, err := operator.Limit(shortContext(t), &pb.LimitRequest{Name: "a", Limits: &pb.Limits{Open: &open, Conns: &open, Bytes: &share}, Version: 1}); err != nil ||
		got.Limits.GetShare() != 3 || got.Limits.GetOpen() != 7 || got.Limits.GetConns() != 7 || got.Limits.GetBytes() != 3 {
		t.Error(got, err)
	}
	for _, c := range []struct {
		name  string
		call  func() error
		code  codes.Code
		field string
	}{
		{"request ID reused for another change", func() error {
			_, err := operator.Add(shortContext(t), &pb.AddRequest{Name: "b", RequestId: "r1"})
			return err
		}, codes.InvalidArgument, "request_id"},
		{"negative share", func() error {
			_, err := operator.Add(shortContext(t), &pb.AddRequest{Name: "b", Limits: &pb.Limits{Share: &bad}})
			return err
		}, codes.InvalidArgument, "share"},
		{"name already exists", func() error { _, err := operator.Add(shortContext(t), &pb.AddRequest{Name: "a"}); return err }, codes.AlreadyExists, "name"},
		{"outdated version", func() error {
			_, err := operator.Pause(shortContext(t), &pb.ChangeRequest{Name: "a", Version: 1})
			return err
		}, codes.Aborted, "version"},
		{"unknown tenant", func() error { _, err := operator.Pause(shortContext(t), &pb.ChangeRequest{Name: "z"}); return err }, codes.NotFound, "name"},
		{"unknown ending", func() error {
			_, err := operator.Remove(shortContext(t), &pb.RemoveRequest{Name: "a", Ending: 9})
			return err
		}, codes.InvalidArgument, "ending"},
		{"token lifetime above the maximum", func() error {
			_, err := operator.IssueToken(shortContext(t), &pb.IssueTokenRequest{Name: "a", LastsS: 1 << 60})
			return err
		}, codes.InvalidArgument, "lasts_s"},
		{"page size above the maximum", func() error { _, err := operator.List(shortContext(t), &pb.ListRequest{PageSize: 1e6}); return err }, codes.InvalidArgument, "page_size"},
		{"message too large", func() error {
			_, err := operator.Get(shortContext(t), &pb.GetRequest{Name: strings.Repeat("x", maxMessageBytes)})
			return err
		}, codes.ResourceExhausted, ""},
		{"deadline in the past", func() error {
			ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
			defer stop()
			_, err := operator.Get(ctx, &pb.GetRequest{Name: "a"})
			return err
		}, codes.DeadlineExceeded, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkStatus(t, c.call(), c.code, c.field)
		})
	}
	checkPages(t, operator)
	checkRecord(t, operator)
}

// checkRecord issues and revokes a token, and reads a page of the audit log.
func checkRecord(t *testing.T, operator pb.TenantsClient) {
	t.Helper()
	token, err := operator.IssueToken(shortContext(t), &pb.IssueTokenRequest{Name: "a", LastsS: 60})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operator.RevokeToken(shortContext(t), &pb.RevokeTokenRequest{Id: token.Token[:12]}); err != nil {
		t.Error(err)
	}
	if got, err := operator.Records(shortContext(t), &pb.RecordsRequest{From: 2, PageSize: 3}); err != nil || len(got.Records) != 3 || got.Next != 5 || got.Records[0].What != "limit" {
		t.Errorf("records from 2 on: got %+v, error %v; want 3 records, the first a limit, and 5 as the next", got, err)
	}
}

// checkStatus checks the code of a call's status, and the field that its details and its message name.
func checkStatus(t *testing.T, err error, code codes.Code, wantField string) {
	t.Helper()
	field := ""
	for _, detail := range status.Convert(err).Details() {
		if bad, ok := detail.(*errdetails.BadRequest); ok {
			field = bad.FieldViolations[0].Field
		}
	}
	if status.Code(err) != code || field != wantField || field != "" && !strings.HasPrefix(status.Convert(err).Message(), field+": ") {
		t.Errorf("got error %v with field %q, want the code and the field of the case, and a message that begins with the field", err, field)
	}
}

// checkPages adds six tenants to the existing one and lists all in pages of three.
func checkPages(t *testing.T, operator pb.TenantsClient) {
	t.Helper()
	for i := range 6 {
		if _, err := operator.Add(shortContext(t), &pb.AddRequest{Name: fmt.Sprint("t", i)}); err != nil {
			t.Fatal(err)
		}
	}
	var names []string
	for token, pages := "", 0; pages == 0 || token != ""; pages++ {
		got, err := operator.List(shortContext(t), &pb.ListRequest{PageSize: 3, PageToken: token})
		if err != nil || pages > 5 {
			t.Fatal(err)
		}
		for _, x := range got.Tenants {
			names = append(names, x.Name)
		}
		token = got.NextPageToken
	}
	if fmt.Sprint(names) != "[a t0 t1 t2 t3 t4 t5]" {
		t.Errorf("listed by pages: got %v, want [a t0 t1 t2 t3 t4 t5]", names)
	}
}

// TestCertificates connects with a valid certificate, and with certificates and TLS versions that must be rejected.
func TestCertificates(t *testing.T) {
	ts := startServer(t)
	folder := filepath.Join(ts.dir, "keys")
	ts.issue(keys.Subject{Name: "expired", Role: access.Operator, Lifetime: time.Millisecond})
	foreign, err := keys.Init(filepath.Join(ts.dir, "foreign"), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := foreign.Issue(time.Now(), keys.Subject{Name: "operator", Role: access.Operator, Lifetime: time.Hour}); err != nil {
		t.Fatal(err)
	}
	pair := func(dir, name string) tls.Certificate {
		c, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	time.Sleep(10 * time.Millisecond)
	for _, c := range []struct {
		name string
		conf *tls.Config
		ok   bool
	}{
		{"operator", &tls.Config{Certificates: []tls.Certificate{pair(folder, "operator")}}, true},
		{"no client certificate", &tls.Config{}, false},
		{"expired certificate", &tls.Config{Certificates: []tls.Certificate{pair(folder, "expired")}}, false},
		{"certificate of another authority", &tls.Config{Certificates: []tls.Certificate{pair(filepath.Join(ts.dir, "foreign"), "operator")}}, false},
		{"the server's certificate", &tls.Config{Certificates: []tls.Certificate{pair(folder, "server")}}, false},
		{"TLS 1.2", &tls.Config{Certificates: []tls.Certificate{pair(folder, "operator")}, MaxVersion: tls.VersionTLS12}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.conf.InsecureSkipVerify = true // the client's check of the server is not under test
			_, err := ts.clientWith(credentials.NewTLS(c.conf)).List(shortContext(t), &pb.ListRequest{})
			if (err == nil) != c.ok {
				t.Error(err)
			}
		})
	}
}

// TestRevoked revokes the certificate of an open connection and rotates the authority's key while another connection is open. The first has
// to be rejected and the second to stay open. A list of revocations that cannot be read must not readmit the revoked certificate.
func TestRevoked(t *testing.T) {
	ts := startServer(t)
	operator, reader := ts.clientOf("operator"), ts.clientOf("reader")
	for _, c := range []pb.TenantsClient{operator, reader} {
		if _, err := c.List(shortContext(t), &pb.ListRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := ts.ca.Rotate(time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := ts.ca.Revoke(time.Now(), "reader"); err != nil {
		t.Fatal(err)
	}
	ts.issue(keys.Subject{Name: "server", Hosts: []string{"127.0.0.1"}}) // signed by the new key
	ts.issue(keys.Subject{Name: "new", Role: access.Operator})
	refused := false
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && !refused; time.Sleep(20 * time.Millisecond) {
		if _, err := operator.List(shortContext(t), &pb.ListRequest{}); err != nil {
			t.Fatalf("the rotation of the key closed an open connection: %v", err)
		}
		_, err := reader.List(shortContext(t), &pb.ListRequest{})
		refused = err != nil
	}
	if !refused {
		t.Error("the connection of a revoked certificate is still accepted after 4 s")
	}
	for _, name := range []string{"operator", "new"} { // signed by the old key and by the new one
		if _, err := ts.clientOf(name).List(shortContext(t), &pb.ListRequest{}); err != nil {
			t.Errorf("list as %s after the rotation: %v", name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(ts.dir, "keys", "crl.pem"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if ts.guard.Load() == nil {
		t.Error("got no error for a malformed list of revocations")
	}
	if _, err := ts.clientOf("reader").List(shortContext(t), &pb.ListRequest{}); err == nil {
		t.Error("a revoked certificate is accepted while the list of revocations is malformed")
	}
}

// TestHalfOpen opens 200 connections that send nothing: they must not block calls on an open connection, nor a new connection once the
// server has closed them.
func TestHalfOpen(t *testing.T) {
	ts := startServer(t)
	operator := ts.clientOf("operator")
	if _, err := operator.List(shortContext(t), &pb.ListRequest{}); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		c, err := net.Dial("tcp", ts.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close() //nolint:errcheck // nothing was written to it
	}
	if _, err := operator.List(shortContext(t), &pb.ListRequest{}); err != nil {
		t.Errorf("list on an open connection: %v", err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 4*handshakeTimeout)
	defer stop()
	if _, err := ts.clientOf("reader").List(ctx, &pb.ListRequest{}, grpc.WaitForReady(true)); err != nil {
		t.Errorf("list on a new connection after the handshake time-out of the silent ones: %v", err)
	}
}
