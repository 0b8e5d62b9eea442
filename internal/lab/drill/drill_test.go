package drill

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ravenpond/internal/lab/spawn"
	"ravenpond/internal/site"
	"ravenpond/internal/strictxml"
)

// TestMain lets the test binary act as the scheduler process that a drill starts and kills.
func TestMain(m *testing.M) { spawn.Main(m.Run) }

const shortFaults = `
  <window name="w" at="9s" lead="3s" for="5s" cell="quay-1"/>
  <trouble kind="list-away" at="2500ms" for="3s"/>
  <trouble kind="answers-lost" at="3s" for="2s" part="0.3" size="0.8"/>
  <trouble kind="kill" at="4s" part="0.34"/>
  <trouble kind="drain" at="4500ms" for="4s" part="0.2" how="at-once"/>
  <trouble kind="hall-lost" at="6s" for="1500ms" zone="mill"/>
  <trouble kind="stand-still" at="7500ms" for="2s" part="0.34"/>
  <trouble kind="kill" at="9500ms" part="0.67"/>
  <trouble kind="restart" at="10s" for="1s" part="0.4" zone="fort"/>
  <trouble kind="services-stop" at="11s" part="0.4"/>
</day>`

// TestShortDay runs a day of 24 s in which scheduler processes are killed and paused while hundreds of attempts are open. The audit must find no
// violation.
func TestShortDay(t *testing.T) {
	config, faults := site.Read(strings.NewReader(DefaultSite))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	text := DefaultDay[:strings.Index(DefaultDay, "  <window")] + shortFaults
	text = strings.NewReplacer(`lasts="62s"`, `lasts="23s"`, `rate="34"`, `rate="60"`).Replace(text)
	day, faults := ReadDay(strings.NewReader(text), config)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	dir := t.TempDir()
	res, err := Play(context.Background(), Drill{
		Day: day, Deployment: config, SiteText: DefaultSite, Command: []string{os.Args[0]},
		Seed: 2, OutDir: dir, Logf: func(string, ...any) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Violations {
		t.Error(b)
	}
	opened := 0
	for i := range day.schedulers {
		log, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("s%d.log", i)))
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(log), "window w: draining 4 nodes until") {
			opened++
		}
	}
	if opened != day.schedulers {
		t.Errorf("the maintenance window began at %d of %d schedulers, want all", opened, day.schedulers)
	}
	if row := res.rows[0]; row.served < 300 || row.requests != row.served+row.declined+row.failed+row.other {
		t.Errorf("got %+v, want at least 300 served, and served, declined, failed and other to sum to the requests", row)
	}
}

func TestDayFaults(t *testing.T) {
	config, _ := site.Read(strings.NewReader(DefaultSite))
	if _, faults := ReadDay(strings.NewReader(DefaultDay), config); len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, c := range []struct{ name, old, new, fault string }{
		{"unknown trouble", `kind="hang"`, `kind="hangover"`, "one of list-away"},
		{"unknown zone", `zone="mill" nodes="7"`, `zone="moor" nodes="7"`, `no zone "moor"`},
		{"unknown machine", `machine="small" zone="fort"`, `machine="tiny" zone="fort"`, `no machine kind "tiny"`},
		{"unknown tenant", `tenant="birch"`, `tenant="oak"`, `no tenant "oak"`},
		{"fractions that do not sum to 1", `part="0.68"`, `part="0.6"`, "sum to 0.92"},
		{"job type without its work element", `job-type="render" part="0.68"`, `job-type="import" part="0.68"`, `duplicate <work job-type="import">, first in line`},
		{"fault after the end of the day", `kind="grow" at="44s"`, `kind="grow" at="440s"`, "after the end of the day"},
		{"job-fails without a job type", `size="0.8" job-type="import"`, `size="0.8"`, "needs a job-type"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, faults := ReadDay(strings.NewReader(strings.Replace(DefaultDay, c.old, c.new, 1)), config)
			var all []string
			for _, f := range append(faults, strictxml.Fault{}) {
				all = append(all, f.String())
			}
			if got := strings.Join(all, "\n"); !strings.Contains(got, c.fault) {
				t.Errorf("got faults %q, want them to contain %q", got, c.fault)
			}
		})
	}
}
