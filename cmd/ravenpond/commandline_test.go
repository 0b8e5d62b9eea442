package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

var update = flag.Bool("update", false, "rewrite testdata/commandline.txt")

// TestCommandLine compares all commands, arguments and flags, including hidden ones, with testdata/commandline.txt. Kong derives the names of
// flags from those of struct fields, so renaming a field that has no name tag would rename its flag.
func TestCommandLine(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("ravenpond"))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, command := range parser.Model.Leaves(false) {
		path := command.FullPath()
		fmt.Fprintf(&b, "%s%s\n", path, hiddenSuffix(isHidden(command)))
		for _, argument := range command.Positional {
			fmt.Fprintf(&b, "%s argument %s\n", path, describeValue(argument))
		}
		for _, group := range command.AllFlags(false) {
			for _, f := range group {
				fmt.Fprintf(&b, "%s --%s%s %s\n", path, f.Name, hiddenSuffix(f.Hidden), describeValue(f.Value))
			}
		}
	}
	golden := filepath.Join("testdata", "commandline.txt")
	if *update {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := lineSet(string(want)), lineSet(b.String())
	for line := range wantLines {
		if !gotLines[line] {
			t.Errorf("missing from the command line: %s", line)
		}
	}
	for line := range gotLines {
		if !wantLines[line] {
			t.Errorf("not in testdata/commandline.txt: %s", line)
		}
	}
}

// describeValue returns the name, type and tags that kong has for an argument or flag.
func describeValue(v *kong.Value) string {
	return fmt.Sprintf("%s %s default=%q enum=%q required=%v negatable=%q", v.Name, v.Target.Type(), v.Default, v.Enum, v.Required, v.Tag.Negatable)
}

// hiddenSuffix returns the mark that lines of hidden commands and flags have.
func hiddenSuffix(is bool) string {
	if is {
		return " hidden"
	}
	return ""
}

// isHidden reports whether a command or one of its parents is hidden.
func isHidden(n *kong.Node) bool {
	return n != nil && (n.Hidden || isHidden(n.Parent))
}

// lineSet returns the set of lines of a text, without leading and trailing space.
func lineSet(text string) map[string]bool {
	lines := map[string]bool{}
	for line := range strings.Lines(text) {
		lines[strings.TrimSpace(line)] = true
	}
	return lines
}
