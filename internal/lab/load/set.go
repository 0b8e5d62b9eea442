package load

import (
	"fmt"
	"strings"
)

// WithWorkingSet gives a site's schedulers, so many, a working set of so many nodes at least.
func WithWorkingSet(site string, schedulers, nodes int) string {
	site = strings.Replace(site, `schedulers="1"`, fmt.Sprintf("schedulers=%q", fmt.Sprint(schedulers)), 1)
	return strings.Replace(site, "<limits ", fmt.Sprintf("<working-set nodes-least=%q/>\n  <limits ", fmt.Sprint(nodes)), 1)
}
