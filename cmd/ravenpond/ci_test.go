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

// TestLint plants an unused function and holds that the linter of CI fails on it, unless exactly this finding is listed, and that a
// listed finding that is gone fails too.
func TestLint(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	clean := write("clean.go", "package clean\n\n// Used is exported.\nfunc Used() {}\n")
	faulty := write("faulty.go", "package faulty\n\nfunc unused() {}\n")
	finding := faulty + ":3:6: func unused is unused (U1000)"
	nothing := write("nothing", "")
	listed := write("listed", "# a comment\n"+finding+"\n")
	for _, c := range []struct {
		name, known, source string
		passes              bool
	}{
		{"clean", nothing, clean, true},
		{"a finding", nothing, faulty, false},
		{"a listed finding", listed, faulty, true},
		{"a listed finding that is gone", listed, clean, false},
		{"a file that is not there", nothing, filepath.Join(directory, "nowhere.go"), false},
	} {
		cmd := exec.Command(".ci/lint", c.known, c.source)
		cmd.Dir = "../.."
		out, err := cmd.CombinedOutput()
		if passed := err == nil; passed != c.passes {
			t.Errorf("%s: passed %v, want %v: %s", c.name, passed, c.passes, out)
		}
		if !c.passes && c.source == faulty && !strings.Contains(string(out), finding) {
			t.Errorf("%s: the finding is not printed: %s", c.name, out)
		}
	}
}
