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

// testServer is a server with a certificate authority and people.
type testServer struct {
	t     *testing.T
	dir   string
	ca    *keys.Authority
	guard *keys.Guard
	addr  string
}

var identities = []keys.Subject{
	{Name: "op", Role: access.Operator},
	{Name: "eye", Role: access.Reader},
	{Name: "boss", Role: access.TenantAdmin, Tenant: "a"},
	{Name: "clerk", Role: access.TenantReader, Tenant: "a"},
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	o := &testServer{t: t, dir: t.TempDir()}
	var err error
	if o.ca, err = keys.Init(filepath.Join(o.dir, "keys"), time.Now()); err != nil {
		t.Fatal(err)
	}
	o.issue(keys.Subject{Name: "server", Hosts: []string{"127.0.0.1"}})
	for _, person := range identities {
		o.issue(person)
	}
	if o.guard, err = keys.NewGuard(filepath.Join(o.dir, "keys"), "server"); err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Open: func() (*tenants.Store, error) { return tenants.Open(filepath.Join(o.dir, "state"), 8) }, Guard: o.guard,
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
	o.addr = <-ready
	return o
}

func (o *testServer) issue(subject keys.Subject) {
	o.t.Helper()
	if subject.Lifetime == 0 {
		subject.Lifetime = time.Hour
	}
	if _, err := o.ca.Issue(time.Now(), subject); err != nil {
		o.t.Fatal(err)
	}
}

func (o *testServer) clientOf(name string) pb.TenantsClient {
	o.t.Helper()
	creds, err := keys.ClientCredentials(filepath.Join(o.dir, "keys"), name)
	if err != nil {
		o.t.Fatal(err)
	}
	return o.clientWith(creds)
}

func (o *testServer) clientWith(creds credentials.TransportCredentials) pb.TenantsClient {
	o.t.Helper()
	conn, err := grpc.NewClient(o.addr, grpc.WithTransportCredentials(creds))
	if err != nil {
		o.t.Fatal(err)
	}
	o.t.Cleanup(func() { _ = conn.Close() })
	return pb.NewTenantsClient(conn)
}

// shortContext is a context that ends after four seconds.
func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
	t.Cleanup(stop)
	return ctx
}

func TestRoles(t *testing.T) {
	o := startServer(t)
	op := o.clientOf("op")
	for _, name := range []string{"a", "b"} {
		if _, err := op.Add(shortContext(t), &pb.AddRequest{Name: name}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name string
		call func(c pb.TenantsClient, ctx context.Context) error
		may  string // of op, eye, boss of a, clerk of a
	}{
		{"see a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Get(ctx, &pb.GetRequest{Name: "a"})
			return err
		}, "++++"},
		{"see b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Get(ctx, &pb.GetRequest{Name: "b"})
			return err
		}, "++--"},
		{"pause a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Pause(ctx, &pb.ChangeRequest{Name: "a"})
			return err
		}, "+-+-"},
		{"pause b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Pause(ctx, &pb.ChangeRequest{Name: "b"})
			return err
		}, "+---"},
		{"limit a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Limit(ctx, &pb.LimitRequest{Name: "a"})
			return err
		}, "+---"},
		{"a token for a", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.IssueToken(ctx, &pb.IssueTokenRequest{Name: "a", LastsS: 60})
			return err
		}, "+-+-"},
		{"a token for b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.IssueToken(ctx, &pb.IssueTokenRequest{Name: "b", LastsS: 60})
			return err
		}, "+---"},
		{"the record", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Records(ctx, &pb.RecordsRequest{})
			return err
		}, "++--"},
		{"remove b", func(c pb.TenantsClient, ctx context.Context) error {
			_, err := c.Remove(ctx, &pb.RemoveRequest{Name: "b"})
			return err
		}, "+---"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := len(identities) - 1; i >= 0; i-- { // who may most comes last
				err := c.call(o.clientOf(identities[i].Name), shortContext(t))
				if want := c.may[i] == '+'; (err == nil) != want || !want && (status.Code(err) != codes.PermissionDenied ||
					status.Convert(err).Message() != "not allowed") {
					t.Errorf("%s: %v", identities[i].Name, err)
				}
			}
		})
	}
	checkVisible(t, o)
}

// checkVisible checks how many of the tenants a and b each person sees.
func checkVisible(t *testing.T, o *testServer) {
	t.Helper()
	for name, want := range map[string]int{"op": 2, "eye": 2, "boss": 1, "clerk": 1} {
		if got, err := o.clientOf(name).List(shortContext(t), &pb.ListRequest{}); err != nil || len(got.Tenants) != want {
			t.Errorf("%s sees %d tenants, want %d, %v", name, len(got.GetTenants()), want, err)
		}
	}
}

func TestChanges(t *testing.T) {
	o := startServer(t)
	op, share := o.clientOf("op"), 3.0
	first, err := op.Add(shortContext(t), &pb.AddRequest{Name: "a", Limits: &pb.Limits{Share: &share}, RequestId: "r1"})
	if err != nil || first.Limits.GetShare() != 3 || first.Limits.GetWait() != int64(defaultLimits.MaxWaiting) || first.State != pb.State_ACTIVE {
		t.Fatal(first, err)
	}
	if again, err := op.Add(shortContext(t), &pb.AddRequest{Name: "a", Limits: &pb.Limits{Share: &share}, RequestId: "r1"}); err != nil || again.Version != first.Version {
		t.Error(again, err)
	}
	open, bad := int64(7), -1.0
	if got, err := op.Limit(shortContext(t), &pb.LimitRequest{Name: "a", Limits: &pb.Limits{Open: &open, Conns: &open, Bytes: &share}, Version: 1}); err != nil ||
		got.Limits.GetShare() != 3 || got.Limits.GetOpen() != 7 || got.Limits.GetConns() != 7 || got.Limits.GetBytes() != 3 {
		t.Error(got, err)
	}
	for _, c := range []struct {
		name  string
		call  func() error
		code  codes.Code
		field string
	}{
		{"the same id for another change", func() error {
			_, err := op.Add(shortContext(t), &pb.AddRequest{Name: "b", RequestId: "r1"})
			return err
		}, codes.InvalidArgument, "request_id"},
		{"a bad share", func() error {
			_, err := op.Add(shortContext(t), &pb.AddRequest{Name: "b", Limits: &pb.Limits{Share: &bad}})
			return err
		}, codes.InvalidArgument, "share"},
		{"a name twice", func() error { _, err := op.Add(shortContext(t), &pb.AddRequest{Name: "a"}); return err }, codes.AlreadyExists, "name"},
		{"an older version", func() error {
			_, err := op.Pause(shortContext(t), &pb.ChangeRequest{Name: "a", Version: 1})
			return err
		}, codes.Aborted, "version"},
		{"nobody", func() error { _, err := op.Pause(shortContext(t), &pb.ChangeRequest{Name: "z"}); return err }, codes.NotFound, "name"},
		{"no such ending", func() error {
			_, err := op.Remove(shortContext(t), &pb.RemoveRequest{Name: "a", Ending: 9})
			return err
		}, codes.InvalidArgument, "ending"},
		{"a token for ever", func() error {
			_, err := op.IssueToken(shortContext(t), &pb.IssueTokenRequest{Name: "a", LastsS: 1 << 60})
			return err
		}, codes.InvalidArgument, "lasts_s"},
		{"a page of a million", func() error { _, err := op.List(shortContext(t), &pb.ListRequest{PageSize: 1e6}); return err }, codes.InvalidArgument, "page_size"},
		{"a message too large", func() error {
			_, err := op.Get(shortContext(t), &pb.GetRequest{Name: strings.Repeat("x", maxMessageBytes)})
			return err
		}, codes.ResourceExhausted, ""},
		{"no time left", func() error {
			ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
			defer stop()
			_, err := op.Get(ctx, &pb.GetRequest{Name: "a"})
			return err
		}, codes.DeadlineExceeded, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkStatus(t, c.call(), c.code, c.field)
		})
	}
	checkPages(t, op)
	checkRecord(t, op)
}

// checkRecord issues and revokes a token, and reads a page of the record of changes.
func checkRecord(t *testing.T, op pb.TenantsClient) {
	t.Helper()
	token, err := op.IssueToken(shortContext(t), &pb.IssueTokenRequest{Name: "a", LastsS: 60})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := op.RevokeToken(shortContext(t), &pb.RevokeTokenRequest{Id: token.Token[:12]}); err != nil {
		t.Error(err)
	}
	if got, err := op.Records(shortContext(t), &pb.RecordsRequest{From: 2, PageSize: 3}); err != nil || len(got.Records) != 3 || got.Next != 5 || got.Records[0].What != "limit" {
		t.Errorf("%+v, %v", got, err)
	}
}

// checkStatus checks a call's status: its code, and the field that its details and its message name.
func checkStatus(t *testing.T, err error, code codes.Code, wantField string) {
	t.Helper()
	field := ""
	for _, detail := range status.Convert(err).Details() {
		if bad, ok := detail.(*errdetails.BadRequest); ok {
			field = bad.FieldViolations[0].Field
		}
	}
	if status.Code(err) != code || field != wantField || field != "" && !strings.HasPrefix(status.Convert(err).Message(), field+": ") {
		t.Errorf("%v, field %q", err, field)
	}
}

// checkPages adds six tenants to the one that there is and lists them in pages of three.
func checkPages(t *testing.T, op pb.TenantsClient) {
	t.Helper()
	for i := range 6 {
		if _, err := op.Add(shortContext(t), &pb.AddRequest{Name: fmt.Sprint("t", i)}); err != nil {
			t.Fatal(err)
		}
	}
	var names []string
	for token, pages := "", 0; pages == 0 || token != ""; pages++ {
		got, err := op.List(shortContext(t), &pb.ListRequest{PageSize: 3, PageToken: token})
		if err != nil || pages > 5 {
			t.Fatal(err)
		}
		for _, x := range got.Tenants {
			names = append(names, x.Name)
		}
		token = got.NextPageToken
	}
	if fmt.Sprint(names) != "[a t0 t1 t2 t3 t4 t5]" {
		t.Errorf("%v", names)
	}
}

// TestCertificates connects with certificates that are not valid.
func TestCertificates(t *testing.T) {
	o := startServer(t)
	folder := filepath.Join(o.dir, "keys")
	o.issue(keys.Subject{Name: "late", Role: access.Operator, Lifetime: time.Millisecond})
	foreign, err := keys.Init(filepath.Join(o.dir, "foreign"), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := foreign.Issue(time.Now(), keys.Subject{Name: "op", Role: access.Operator, Lifetime: time.Hour}); err != nil {
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
		{"an operator", &tls.Config{Certificates: []tls.Certificate{pair(folder, "op")}}, true},
		{"no certificate", &tls.Config{}, false},
		{"an expired one", &tls.Config{Certificates: []tls.Certificate{pair(folder, "late")}}, false},
		{"a foreign authority's", &tls.Config{Certificates: []tls.Certificate{pair(filepath.Join(o.dir, "foreign"), "op")}}, false},
		{"the server's own", &tls.Config{Certificates: []tls.Certificate{pair(folder, "server")}}, false},
		{"an older TLS", &tls.Config{Certificates: []tls.Certificate{pair(folder, "op")}, MaxVersion: tls.VersionTLS12}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.conf.InsecureSkipVerify = true // the server is not what is tested
			_, err := o.clientWith(credentials.NewTLS(c.conf)).List(shortContext(t), &pb.ListRequest{})
			if (err == nil) != c.ok {
				t.Error(err)
			}
		})
	}
}

// TestRevoked revokes the certificate of an open connection, and rotates the authority's key under another.
func TestRevoked(t *testing.T) {
	o := startServer(t)
	op, reader := o.clientOf("op"), o.clientOf("eye")
	for _, c := range []pb.TenantsClient{op, reader} {
		if _, err := c.List(shortContext(t), &pb.ListRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := o.ca.Rotate(time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := o.ca.Revoke(time.Now(), "eye"); err != nil {
		t.Fatal(err)
	}
	o.issue(keys.Subject{Name: "server", Hosts: []string{"127.0.0.1"}}) // by the new key
	o.issue(keys.Subject{Name: "new", Role: access.Operator})
	refused := false
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && !refused; time.Sleep(20 * time.Millisecond) {
		if _, err := op.List(shortContext(t), &pb.ListRequest{}); err != nil {
			t.Fatalf("a rotation cut off a standing connection: %v", err)
		}
		_, err := reader.List(shortContext(t), &pb.ListRequest{})
		refused = err != nil
	}
	if !refused {
		t.Error("a revoked certificate's connection goes on")
	}
	for _, name := range []string{"op", "new"} { // signed by the old key and by the new one
		if _, err := o.clientOf(name).List(shortContext(t), &pb.ListRequest{}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(o.dir, "keys", "crl.pem"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if o.guard.Load() == nil {
		t.Error("a broken list of revocations was read")
	}
	if _, err := o.clientOf("eye").List(shortContext(t), &pb.ListRequest{}); err == nil {
		t.Error("what was revoked is let in again as the list is broken")
	}
}

// TestHalfOpen opens connections over which nothing is sent: calls get through meanwhile.
func TestHalfOpen(t *testing.T) {
	o := startServer(t)
	op := o.clientOf("op")
	if _, err := op.List(shortContext(t), &pb.ListRequest{}); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		c, err := net.Dial("tcp", o.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close() //nolint:errcheck // nothing was sent over it
	}
	if _, err := op.List(shortContext(t), &pb.ListRequest{}); err != nil {
		t.Errorf("a standing connection: %v", err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 4*handshakeTimeout)
	defer stop()
	if _, err := o.clientOf("eye").List(ctx, &pb.ListRequest{}, grpc.WaitForReady(true)); err != nil {
		t.Errorf("a new one, when the silent have been given up: %v", err)
	}
}
