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

// scrape is a metrics page of a process: values by name and labels, such as ravenpond_connections{kind="dialed"}.
type scrape map[string]float64

// schedulerLabel matches the label that is the same on all metrics of a process.
var schedulerLabel = regexp.MustCompile(`scheduler="[^"]*",?`)

// fetchMetrics fetches the metrics page at an address.
func fetchMetrics(ctx context.Context, address string) (scrape, error) {
	ctx, stop := context.WithTimeout(ctx, scrapeTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch metrics: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch metrics: status %s", response.Status)
	}
	return parseMetrics(response.Body)
}

// parseMetrics parses metrics in the Prometheus text format.
func parseMetrics(in io.Reader) (scrape, error) {
	page := scrape{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		text := lines.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		at := strings.LastIndexByte(text, ' ')
		if at < 0 {
			return nil, fmt.Errorf("metrics: no value in line %.80q", text)
		}
		value, err := strconv.ParseFloat(text[at+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("metrics: bad value in line %.80q: %w", text, err)
		}
		name := strings.Replace(schedulerLabel.ReplaceAllString(text[:at], ""), ",}", "}", 1)
		page[strings.TrimSuffix(name, "{}")] = value
	}
	return page, lines.Err()
}

// value returns a metric of the program by its name without the prefix. Labels are pairs of name and value, sorted by name. It
// returns 0 if there is no such metric.
func (s scrape) value(name string, labels ...string) float64 {
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
