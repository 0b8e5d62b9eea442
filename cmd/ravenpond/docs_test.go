package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestDocumentedPaths checks that the folders, files and pages named in the documentation exist. Pages that record earlier results may name
// paths that no longer exist.
func TestDocumentedPaths(t *testing.T) {
	const root = "../.."
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md", "docs/protocols/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: got %d pages, error %v; want at least one page", pattern, len(found), err)
		}
		pages = append(pages, found...)
	}
	records := []string{"results.md", "performance.md", "CAPACITY.md"}
	sources := sourceNames(t, root)
	for _, page := range pages {
		if slices.Contains(records, filepath.Base(page)) {
			continue
		}
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range documentedPaths(string(text)) {
			if !anyExists(filepath.Join(root, path), filepath.Join(root, "internal", path)) {
				t.Errorf("%s names %s, which does not exist", page, path)
			}
		}
		for _, name := range documentedSources(string(text)) {
			if !sources[name] {
				t.Errorf("%s names the Go file %s, which does not exist in any folder", page, name)
			}
		}
		for _, link := range documentedLinks(string(text)) {
			if !anyExists(filepath.Join(filepath.Dir(page), link)) {
				t.Errorf("%s links to %s, which does not exist", page, link)
			}
		}
	}
}

var (
	codePath = regexp.MustCompile("`((?:internal|cmd|docs|deploy|tools|\\.ci|decide|lab|proto|state|serve|platform|engine|env)(?:/[A-Za-z0-9_.*-]+)+/?)`")
	goFile   = regexp.MustCompile("`([a-z0-9_]+\\.go)`")
	pageLink = regexp.MustCompile(`\]\(([^):#]+)(?:#[^)]*)?\)`)
)

// documentedPaths returns the paths that a page has in code spans.
func documentedPaths(text string) (paths []string) {
	for _, match := range codePath.FindAllStringSubmatch(text, -1) {
		paths = append(paths, strings.TrimSuffix(match[1], "/"))
	}
	return paths
}

// documentedSources returns the names of Go files that a page has in code spans without a folder.
func documentedSources(text string) (names []string) {
	for _, match := range goFile.FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}
	return names
}

// sourceNames returns the set of names of all Go files in a folder and its subfolders.
func sourceNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == ".go" {
			names[entry.Name()] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// documentedLinks returns the targets of a page's links to other files.
func documentedLinks(text string) (links []string) {
	for _, match := range pageLink.FindAllStringSubmatch(text, -1) {
		links = append(links, match[1])
	}
	return links
}

// anyExists reports whether a file matches one of the patterns.
func anyExists(patterns ...string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		found, err := filepath.Glob(pattern)
		return err == nil && len(found) > 0
	})
}
