package scale

import (
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestRulesNameSources checks that each rule on this module's code matches a package or a file that exists: samples of a renamed
// package would otherwise silently count for another part.
func TestRulesNameSources(t *testing.T) {
	var sources []string // as function names and as file names in a profile
	err := filepath.WalkDir("../../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		path = strings.TrimPrefix(filepath.ToSlash(path), "../../../")
		sources = append(sources, moduleMarker+path, moduleMarker+strings.TrimSuffix(path, "/"+entry.Name())+".function")
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range slices.Concat(rules, fallbackRules) {
		if !strings.Contains(rule.text, "internal/") {
			continue
		}
		if !slices.ContainsFunc(sources, func(source string) bool { return strings.Contains(source, rule.text) }) {
			t.Errorf("rule %q matches no source of this module", rule.text)
		}
	}
}
