package scale

import (
	"fmt"
	"strings"

	"ravenpond/internal/lab/scale/hollow"
)

// Names in the site file of a run. The names of the jobs are also in siteText.
const (
	siteName       = "scale"
	shortJob       = "short" // job type of the tasks that phases start, which end soon
	longRunningJob = "stay"  // job type of the tasks that run until the end
)

const siteText = `<site name="%s">
  <cluster schedulers="%d" list="told" cores-limit="4" memory-limit="4" mean-cores="0.5" mean-memory="1"/>
  <rules drain-grace="2s" cold-bears="1000" cold-for="100ms" cold-window="50ms" answer-margin="200ms"/>
  %s
  <machine kind="plain" cores="%d" memory="%d"/>
  <job-type name="short" effect="restartable" target="1s" expiry="5s" value="1"/>
  <job-type name="stay" effect="restartable" target="1s" expiry="20s" value="1"/>
  %s
  <limits open="200000" owner-queue="200000"/>
  %s%s
  <members listen="127.0.0.1:0" seeds="%s" key="%s" lends="0" stewards="%s"/>
  <counts listen="127.0.0.1:0"/>
  <node-list address="%s"/>
  <owners listen="127.0.0.1:0"/>
</site>`

// teamName returns the name of a team's tenant by its number.
func teamName(team int) string { return fmt.Sprintf("t%02d", team) }

// site returns the site file of a run.
func (r *Rig) site() string {
	var zones, teams strings.Builder
	for zone := range r.Sizes.Zones {
		fmt.Fprintf(&zones, `<zone name="%s" region="%s"/>`, hollow.ZoneName(zone), hollow.RegionName(zone, r.Sizes.Regions))
	}
	for team := range r.Sizes.Teams {
		fmt.Fprintf(&teams, `<tenant name="%s" share="%.6f"/>`, teamName(team), 0.999/float64(r.Sizes.Teams))
	}
	return fmt.Sprintf(siteText, siteName, r.Sizes.Schedulers, zones.String(), nodeCores, 2*nodeCores, teams.String(), r.shards(), r.Elements,
		strings.Join(r.seeds, " "), r.keyFile(), strings.Join(hollow.VoterNames(), " "), r.list.Address())
}

// shards returns the element of the site file that injects OwnConnections, or nothing.
func (r *Rig) shards() string {
	if !r.Plant.OwnConnections {
		return ""
	}
	return `<shards count="2" connections="own"/>`
}
