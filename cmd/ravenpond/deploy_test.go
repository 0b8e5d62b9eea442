package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestDeploy builds the program with the command in the deploy file, into a temporary folder, and checks what the platform requires: the
// program is dynamically linked against the C library and started with exec, as one process.
func TestDeploy(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	value := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if m == nil {
			t.Fatalf("the deploy file has no key %s", key)
		}
		return string(m[1])
	}
	for _, key := range []string{"run", "sim"} {
		if !strings.HasPrefix(value(key), "exec bin/") {
			t.Errorf("deploy file: got %s = %q, want exec of a program in bin/", key, value(key))
		}
	}
	bin := filepath.Join(t.TempDir(), "bin")
	cmd := exec.CommandContext(t.Context(), "sh", "-c", strings.ReplaceAll(strings.ReplaceAll(value("build"), "-p bin", "-p "+bin), "-o bin/", "-o "+bin+"/"))
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f, err := elf.Open(filepath.Join(bin, "ravenpond"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("got linked libraries %q, error %v; want libc.so.6 among them", libraries, err)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no PT_INTERP segment: it does not request a dynamic loader")
	}
}

// TestRunPath checks that the code of ravenpond platform does not start programs, use Unix sockets, or copy between file descriptors in the
// kernel.
func TestRunPath(t *testing.T) {
	for _, dir := range []string{
		"internal/platform", "internal/platform/host", "internal/proto/platform", "internal/settings", "internal/env",
		"internal/timers", "internal/besteffort", "logic",
	} {
		files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: got %d Go files, error %v; want at least one file", dir, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if bad := regexp.MustCompile(`"os/exec"|io\.Copy|\.ReadFrom\(|\.WriteTo\(|"unix(gram|packet)?"|syscall\.Fork`).FindString(string(b)); bad != "" {
				t.Errorf("%s: forbidden in the code of ravenpond platform: %s", file, bad)
			}
		}
	}
}
