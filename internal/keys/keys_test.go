package keys

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ravenpond/internal/decide/access"
)

var now = time.Now()

func newAuthority(t *testing.T) (*Authority, string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "keys")
	a, err := Init(dir, now)
	if err != nil {
		t.Fatal(err)
	}
	return a, dir
}

// isTrusted reports whether a certificate is valid according to the authorities in a folder.
func isTrusted(t *testing.T, dir string, c *x509.Certificate) bool {
	t.Helper()
	cas, err := Certificates(filepath.Join(dir, caFile))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	for _, ca := range cas {
		pool.AddCert(ca)
	}
	_, err = c.Verify(x509.VerifyOptions{Roots: pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return err == nil
}

func TestIssue(t *testing.T) {
	a, dir := newAuthority(t)
	if _, err := Init(dir, now); err == nil {
		t.Error("Init replaced an existing authority")
	}
	for _, c := range []struct {
		name    string
		subject Subject
		ok      bool
	}{
		{"operator", Subject{Name: "ana", Role: access.Operator, Lifetime: time.Hour}, true},
		{"tenant administrator", Subject{Name: "bob", Role: access.TenantAdmin, Tenant: "a", Lifetime: time.Hour}, true},
		{"server", Subject{Name: "server", Hosts: []string{"127.0.0.1", "a.example"}, Lifetime: time.Hour}, true},
		{"lifetime longer than the authority's", Subject{Name: "eva", Role: access.Reader, Lifetime: 10 * authorityLifetime}, true},
		{"person without a role", Subject{Name: "x", Lifetime: time.Hour}, false},
		{"tenant role without a tenant", Subject{Name: "x", Role: access.TenantReader, Lifetime: time.Hour}, false},
		{"operator with a tenant", Subject{Name: "x", Role: access.Operator, Tenant: "a", Lifetime: time.Hour}, false},
		{"no lifetime", Subject{Name: "x", Role: access.Operator}, false},
		{"name with a path", Subject{Name: "../x", Role: access.Operator, Lifetime: time.Hour}, false},
		{"name of the authority's files", Subject{Name: "ca", Role: access.Operator, Lifetime: time.Hour}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := a.Issue(now, c.subject)
			if (err == nil) != c.ok {
				t.Fatal(err)
			}
			if err != nil {
				return
			}
			if !isTrusted(t, dir, got) || got.NotAfter.After(now.Add(authorityLifetime)) {
				t.Errorf("certificate expires at %s and is trusted %t, want trusted and no later than the authority's", got.NotAfter, isTrusted(t, dir, got))
			}
			if len(c.subject.Hosts) > 0 {
				return
			}
			if caller, err := CallerOf(got); err != nil || caller.Role != c.subject.Role || caller.Tenant != c.subject.Tenant || caller.Name != c.subject.Name {
				t.Errorf("got caller %+v and error %v, want the subject's role, tenant and name", caller, err)
			}
			if info, err := os.Stat(filepath.Join(dir, c.subject.Name+".key")); err != nil || info.Mode().Perm() != 0o600 {
				t.Errorf("key file has mode %v and error %v, want mode 0600", info.Mode(), err)
			}
		})
	}
}

// TestRotate checks that certificates issued before and after a rotation are valid and that revoked ones stay revoked, also if the process is
// killed after it wrote the authority's certificate and before it wrote the key.
func TestRotate(t *testing.T) {
	for _, killed := range []bool{false, true} {
		a, dir := newAuthority(t)
		old, err := a.Issue(now, Subject{Name: "ana", Role: access.Operator, Lifetime: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Revoke(now, "ana"); err != nil {
			t.Fatal(err)
		}
		key, _ := os.ReadFile(filepath.Join(dir, caKeyFile))
		if err := a.Rotate(now.Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if killed { // restores the old key: the new certificate was written, the new key was not
			if err := os.WriteFile(filepath.Join(dir, caKeyFile), key, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		renewed, err := a.Issue(now, Subject{Name: "eva", Role: access.Operator, Lifetime: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		if !isTrusted(t, dir, old) || !isTrusted(t, dir, renewed) {
			t.Errorf("killed %t: old certificate trusted %t, new one %t, want both trusted", killed, isTrusted(t, dir, old), isTrusted(t, dir, renewed))
		}
		entries, err := a.readRevoked()
		if err != nil || len(entries) != 1 || entries[0].SerialNumber.Cmp(old.SerialNumber) != 0 {
			t.Errorf("killed %t: got %d revoked certificates and error %v, want the first certificate alone", killed, len(entries), err)
		}
	}
	a, dir := newAuthority(t)
	if err := a.Rotate(now.Add(authorityLifetime + time.Hour)); err != nil {
		t.Fatal(err)
	}
	if cas, _ := Certificates(filepath.Join(dir, caFile)); len(cas) != 1 {
		t.Errorf("got %d trusted authorities after the first one expired, want 1", len(cas))
	}
}
