package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const scrapeTimeout = 10 * time.Second

// scrape is a page of counts of a process: values by their names and labels, as in connections{kind="dialed"}.
type scrape map[string]float64

// schedulerLabel is on all counts of a process, the same.
var schedulerLabel = regexp.MustCompile(`scheduler="[^"]*",?`)

// fetch reads a page of counts.
func fetch(ctx context.Context, address string) (scrape, error) {
	ctx, stop := context.WithTimeout(ctx, scrapeTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("counts: %w", err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("counts: %s", answer.Status)
	}
	return parse(answer.Body)
}

// parse reads the text form of counts.
func parse(in io.Reader) (scrape, error) {
	page := scrape{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		text := lines.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		at := strings.LastIndexByte(text, ' ')
		if at < 0 {
			return nil, fmt.Errorf("counts: line %.80q", text)
		}
		value, err := strconv.ParseFloat(text[at+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("counts: line %.80q: %w", text, err)
		}
		name := strings.Replace(schedulerLabel.ReplaceAllString(text[:at], ""), ",}", "}", 1)
		page[strings.TrimSuffix(name, "{}")] = value
	}
	return page, lines.Err()
}

// of is a count of the program by its name and labels, name and value in turn, in the order of their names.
func (s scrape) of(name string, labels ...string) float64 {
	key := "ravenpond_" + name
	var pairs []string
	for pair := range slices.Chunk(labels, 2) {
		pairs = append(pairs, fmt.Sprintf("%s=%q", pair[0], pair[1]))
	}
	if len(pairs) > 0 {
		key += "{" + strings.Join(pairs, ",") + "}"
	}
	return s[key]
}
