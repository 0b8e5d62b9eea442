package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed holds what CI takes for the list of tests that are known to fail: three lines at most, each of which names a test that
// is there, a cause and an issue.
func TestKnownRed(t *testing.T) {
	const one = "./cmd/ravenpond TestKnownRed; a cause; issue 1\n"
	for _, c := range []struct{ name, text, want string }{
		{"none", "", ""},
		{"one", one, "ravenpond/cmd/ravenpond TestKnownRed"},
		{"one without a line's end", strings.TrimSpace(one), "ravenpond/cmd/ravenpond TestKnownRed"},
		{"two of one package", one + one, "ravenpond/cmd/ravenpond TestKnownRed|TestKnownRed"},
		{"four", one + one + one + one, "error: more than three lines"},
		{"no cause", "./cmd/ravenpond TestKnownRed; issue 1\n", "error: not"},
		{"no issue", "./cmd/ravenpond TestKnownRed; a cause\n", "error: not"},
		{"no such test", "./cmd/ravenpond TestNowhere; a cause; issue 1\n", "error: no test TestNowhere"},
		{"no such package", "./cmd/nowhere TestKnownRed; a cause; issue 1\n", "error: no test"},
		{"an empty line", one + "\n", "error: not"},
	} {
		file := filepath.Join(t.TempDir(), "red")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(".ci/known-red", file)
		cmd.Dir = "../.."
		var out, wrong strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &wrong
		got := ""
		if err := cmd.Run(); err != nil {
			got = "error" + strings.TrimPrefix(wrong.String(), file)
		} else {
			got = strings.TrimSpace(out.String())
		}
		if !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
