// Command lintbaseline runs golangci-lint on packages of a module and compares the number of findings of each package and linter with a
// file of known counts, the baseline.
//
// It fails with status 1 in these cases:
//   - a count is higher than in the baseline; the findings of that package and linter are printed
//   - a count is lower than in the baseline, also because the package no longer exists
//   - code does not compile or is not formatted, which a baseline cannot allow
//
// With -update it writes the counts of the given packages into the baseline file instead of comparing them.
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

// header is the comment at the start of the baseline file.
const header = `# Findings of golangci-lint that are known, as PACKAGE LINTER COUNT. No count may grow; one that falls is written down.
# Write it anew with: .ci/lint -update
`

// neverAllowed lists the linters whose findings the baseline must not contain: compile errors and formatting.
var neverAllowed = []string{"typecheck", "gofumpt"}

// key identifies a count: findings are counted by package and linter.
type key struct {
	dir    string // directory of the package, relative to the root of the module, with slashes
	linter string
}

// finding is an issue in the JSON output of golangci-lint.
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
	flag.StringVar(&o.linter, "linter", "golangci-lint", "path of golangci-lint")
	flag.StringVar(&o.dir, "dir", ".", "root of the module")
	flag.StringVar(&o.config, "config", ".golangci.yml", "configuration of golangci-lint")
	flag.StringVar(&o.baseline, "baseline", ".ci/lint-baseline.txt", "baseline file with the known counts")
	flag.BoolVar(&o.update, "update", false, "write the counts of the given packages into the baseline file")
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
		return errors.New("some code does not compile or is not formatted")
	}
	if o.update {
		return update(o, baseline, byKey)
	}
	return compare(o, baseline, byKey)
}

// lint runs golangci-lint on the packages and returns its findings, whose file names are absolute paths.
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
		return nil, fmt.Errorf("run golangci-lint: %w", err)
	}
	var report struct{ Issues []finding }
	if err := json.NewDecoder(&out).Decode(&report); err != nil {
		return nil, fmt.Errorf("decode output of golangci-lint: %w", err)
	}
	return report.Issues, nil
}

// refuse prints the findings of the linters in neverAllowed and reports whether there are any.
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

// compare prints each count of the given packages that differs from the baseline, with the findings if the count has grown. It returns an
// error if any count differs.
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
			fmt.Printf("%s: %s has %d findings, %d known: record the lower count with .ci/lint -update\n", k.dir, k.linter, now, known)
		}
	}
	if grown+fallen > 0 {
		return fmt.Errorf("%d counts are higher and %d are lower than in %s", grown, fallen, o.baseline)
	}
	return nil
}

// update writes the counts of the given packages into the baseline file. The counts of other packages stay unchanged.
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

// readBaseline reads the known counts from the baseline file.
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
			return nil, fmt.Errorf("%s:%d: malformed line, want PACKAGE LINTER COUNT", path, number)
		}
		k := key{fields[0], fields[1]}
		n, err := strconv.Atoi(fields[2])
		if _, twice := counts[k]; twice || err != nil || n < 1 || slices.Contains(neverAllowed, k.linter) {
			return nil, fmt.Errorf("%s:%d: want a count above 0, one line for each package and linter, and no linter that a baseline cannot allow", path, number)
		}
		counts[k] = n
	}
	return counts, lines.Err()
}

// covers reports whether one of the package patterns, such as ./... or ./internal/serve, matches a directory.
func covers(patterns []string, dir string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		root, tree := strings.CutSuffix(filepath.ToSlash(filepath.Clean(pattern)), "...")
		root = strings.TrimSuffix(root, "/")
		return dir == root || tree && (root == "" || root == "." || strings.HasPrefix(dir, root+"/"))
	})
}

// sorted returns the keys of a map by directory, then by linter.
func sorted[V any](m map[key]V) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.dir, b.dir), cmp.Compare(a.linter, b.linter))
	})
}
