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

// TestDeploy builds with the deploy file's own command, in a folder of its own, and checks what the platform requires of the program: it is
// linked dynamically against the C library and started with exec, as one process.
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
			t.Fatalf("no %s in the deploy file", key)
		}
		return string(m[1])
	}
	for _, key := range []string{"run", "sim"} {
		if !strings.HasPrefix(value(key), "exec bin/") {
			t.Errorf("%s = %q: exec of a program that build leaves is expected", key, value(key))
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
		t.Errorf("linked against %q, %v", libraries, err)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("no loader is asked for")
	}
}

// TestRunPath checks that no code of ravenpond platform starts programs, uses Unix sockets, or copies between descriptors in the kernel.
func TestRunPath(t *testing.T) {
	for _, dir := range []string{
		"internal/platform", "internal/platform/host", "internal/proto/platform", "internal/settings", "internal/env",
		"internal/timers", "internal/besteffort", "logic",
	} {
		files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
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
				t.Errorf("%s: %s", file, bad)
			}
		}
	}
}
