package load

import (
	"fmt"
	"strings"
)

// WithWorkingSet returns the text of a site file with a number of schedulers, whose working sets have at least a number of nodes.
func WithWorkingSet(site string, schedulers, nodes int) string {
	site = strings.Replace(site, `schedulers="1"`, fmt.Sprintf("schedulers=%q", fmt.Sprint(schedulers)), 1)
	return strings.Replace(site, "<limits ", fmt.Sprintf("<working-set nodes-least=%q/>\n  <limits ", fmt.Sprint(nodes)), 1)
}
