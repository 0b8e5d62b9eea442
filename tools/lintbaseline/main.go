// Command lintbaseline runs golangci-lint on packages of a module and compares the number of findings of each package and linter with a
// file of known counts, the baseline.
//
// It fails, with status 1, if a count has grown, and prints the findings behind it; if a count has fallen and the file does not say so; if
// the file names a package that is gone; and if code does not compile or is not formatted, which no baseline can allow. With -update it
// writes the counts of the packages that it was given into the file.
//
// Usage: lintbaseline -linter GOLANGCI-LINT [-dir DIR] [-config FILE] [-baseline FILE] [-update] PACKAGE...
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// header explains the baseline file to its readers.
const header = `# Findings of golangci-lint that are known, as PACKAGE LINTER COUNT. No count may grow; one that falls is written down.
# Write it anew with: .ci/lint -update
`

// neverAllowed are the linters whose findings a baseline cannot hold: code that does not compile, and formatting.
var neverAllowed = []string{"typecheck", "gofumpt"}

// key is what findings are counted by.
type key struct {
	dir    string // directory of the package, relative to the module's root
	linter string
}

// finding is one message of the linter.
type finding struct {
	FromLinter string
	Text       string
	Pos        struct {
		Filename     string
		Line, Column int
	}
}

// options are the program's flags and arguments.
type options struct {
	linter, dir, config, baseline string
	update                        bool
	patterns                      []string
}

func main() {
	var o options
	flag.StringVar(&o.linter, "linter", "golangci-lint", "the program golangci-lint")
	flag.StringVar(&o.dir, "dir", ".", "root of the module")
	flag.StringVar(&o.config, "config", ".golangci.yml", "configuration of golangci-lint")
	flag.StringVar(&o.baseline, "baseline", ".ci/lint-baseline.txt", "file of known counts")
	flag.BoolVar(&o.update, "update", false, "write the counts of the given packages into the file")
	flag.Parse()
	if o.patterns = flag.Args(); len(o.patterns) == 0 {
		o.patterns = []string{"./..."}
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "lint:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	baseline, err := readBaseline(o.baseline)
	if err != nil {
		return err
	}
	findings, err := lint(o)
	if err != nil {
		return err
	}
	byKey := map[key][]string{}
	for _, f := range findings {
		path, err := filepath.Rel(o.dir, f.Pos.Filename)
		if err != nil {
			return err
		}
		k := key{filepath.ToSlash(filepath.Dir(path)), f.FromLinter}
		byKey[k] = append(byKey[k], fmt.Sprintf("%s:%d:%d: %s (%s)", path, f.Pos.Line, f.Pos.Column, f.Text, f.FromLinter))
	}
	if failed := refuse(byKey); failed {
		return errors.New("code that does not compile or is not formatted")
	}
	if o.update {
		return update(o, baseline, byKey)
	}
	return compare(o, baseline, byKey)
}

// lint runs golangci-lint and returns its findings, with absolute paths.
func lint(o options) ([]finding, error) {
	args := append([]string{
		"run", "--config", o.config, "--path-mode=abs", "--output.json.path=stdout", "--show-stats=false",
		"--issues-exit-code=0",
	}, o.patterns...)
	cmd := exec.Command(o.linter, args...)
	cmd.Dir = o.dir
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, os.Stderr
	if err := cmd.Run(); err != nil {
		return nil, fmt.Errorf("golangci-lint: %w", err)
	}
	var report struct{ Issues []finding }
	if err := json.NewDecoder(&out).Decode(&report); err != nil {
		return nil, fmt.Errorf("output of golangci-lint: %w", err)
	}
	return report.Issues, nil
}

// refuse prints the findings that no baseline allows and reports whether there are any.
func refuse(byKey map[key][]string) bool {
	failed := false
	for _, k := range sorted(byKey) {
		if slices.Contains(neverAllowed, k.linter) {
			failed = true
			fmt.Println(strings.Join(byKey[k], "\n"))
		}
	}
	return failed
}

// compare prints each count of the packages in question that differs from the baseline, and the findings behind one that has grown.
func compare(o options, baseline map[key]int, byKey map[key][]string) error {
	all := maps.Clone(baseline)
	for k := range byKey {
		all[k] = baseline[k]
	}
	grown, fallen := 0, 0
	for _, k := range sorted(all) {
		known, now := all[k], len(byKey[k])
		switch {
		case !covers(o.patterns, k.dir) || known == now:
		case now > known:
			grown++
			fmt.Printf("%s: %s has %d findings, %d known:\n  %s\n", k.dir, k.linter, now, known, strings.Join(byKey[k], "\n  "))
		default:
			fallen++
			fmt.Printf("%s: %s has %d findings, %d known: write the lower count down with .ci/lint -update\n", k.dir, k.linter, now, known)
		}
	}
	if grown+fallen > 0 {
		return fmt.Errorf("%d counts have grown, %d have fallen, compared with %s", grown, fallen, o.baseline)
	}
	return nil
}

// update writes the counts of the packages in question into the baseline; the others stay.
func update(o options, baseline map[key]int, byKey map[key][]string) error {
	counts := map[key]int{}
	for k, n := range baseline {
		if !covers(o.patterns, k.dir) {
			counts[k] = n
		}
	}
	for k, lines := range byKey {
		counts[k] = len(lines)
	}
	var b strings.Builder
	b.WriteString(header)
	for _, k := range sorted(counts) {
		fmt.Fprintf(&b, "%s %s %d\n", k.dir, k.linter, counts[k])
	}
	return os.WriteFile(o.baseline, []byte(b.String()), 0o644)
}

// readBaseline reads the file of known counts.
func readBaseline(path string) (map[key]int, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	counts := map[key]int{}
	lines := bufio.NewScanner(bytes.NewReader(b))
	for number := 1; lines.Scan(); number++ {
		if lines.Text() == "" || strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s:%d: PACKAGE LINTER COUNT is expected", path, number)
		}
		k := key{fields[0], fields[1]}
		n, err := strconv.Atoi(fields[2])
		if _, twice := counts[k]; twice || err != nil || n < 1 || slices.Contains(neverAllowed, k.linter) {
			return nil, fmt.Errorf("%s:%d: a count above 0 of a package and linter, once, is expected", path, number)
		}
		counts[k] = n
	}
	return counts, lines.Err()
}

// covers reports whether one of the package patterns, such as ./... or ./internal/serve, names the directory.
func covers(patterns []string, dir string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		root, tree := strings.CutSuffix(filepath.ToSlash(filepath.Clean(pattern)), "...")
		root = strings.TrimSuffix(root, "/")
		return dir == root || tree && (root == "" || root == "." || strings.HasPrefix(dir, root+"/"))
	})
}

func sorted[V any](m map[key]V) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.dir, b.dir), cmp.Compare(a.linter, b.linter))
	})
}
