package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/proto/ics"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/maintenancestore"
)

// drainCommands change and show the calendar of maintenance windows in a scheduler's state folder. All schedulers of a site must have the
// same calendar.
type drainCommands struct {
	Add      drainAdd      `cmd:"" help:"Add windows and protected times from an iCalendar file, or one window by flags."`
	List     drainList     `cmd:"" help:"List windows and protected times, or write them as iCalendar."`
	Show     drainShow     `cmd:"" help:"Show a window and its drains."`
	Usual    drainUsual    `cmd:"" help:"Print the measured load by hour of the week, or publish a table to use instead."`
	Cancel   drainCancel   `cmd:"" help:"Cancel a window, or one occurrence of it."`
	Simulate drainSimulate `cmd:"" help:"Print which windows of a month would be kept, postponed or refused."`
}

// stateFlag names a state folder.
type stateFlag struct {
	State string `required:"" type:"path" help:"State folder of the scheduler."`
}

// withStore opens the store of windows, calls do and closes the store. It retries while a scheduler has the store locked.
func (f stateFlag) withStore(do func(s *maintenancestore.Store) error) error {
	return useStore(func() (*maintenancestore.Store, error) { return maintenancestore.Open(f.State) }, do)
}

// maxOpenAttempts is the number of attempts to open a locked store, 0.2 s apart.
const maxOpenAttempts = 10

// useStore opens a store, retrying while another process has it locked, calls use and closes the store.
func useStore[S io.Closer](open func() (S, error), use func(S) error) (err error) {
	var s S
	if err = bolt.RetryWhileLocked(context.Background(), maxOpenAttempts, func() error { s, err = open(); return err }); err != nil {
		return err
	}
	return errors.Join(use(s), s.Close())
}

// calendar returns the windows and protected times in the store.
func (f stateFlag) calendar() (cal *calendar.Calendar, err error) {
	err = f.withStore(func(s *maintenancestore.Store) error {
		cal, err = s.Calendar()
		return err
	})
	return cal, err
}

// drainAdd adds windows and protected times to the calendar.
type drainAdd struct {
	stateFlag
	File     string        `arg:"" optional:"" help:"iCalendar file; - reads standard input."`
	ID       string        `help:"Name of the window; default: made of the kind of target, the target and the start."`
	Node     string        `help:"Number of the node to drain."`
	Cell     string        `help:"Cell to drain."`
	Zone     string        `help:"Zone to drain."`
	Start    string        `help:"First start, such as 2026-03-02T10:00, in the time zone of --tz."`
	TZ       string        `default:"UTC" help:"Time zone of --start."`
	Duration time.Duration `name:"last" help:"Length of the maintenance."`
	Rule     string        `help:"Recurrence rule in RFC 5545 syntax, such as FREQ=WEEKLY."`
	Lead     time.Duration `default:"10m" help:"Time from the beginning of the drain to the start of the window."`
	Slack    time.Duration `help:"Maximum time by which the start may be postponed."`
	Priority int           `help:"Priority; windows with a higher one are planned first."`
	Ending   string        `enum:"release,sweep,hold" default:"release" help:"Action if tasks still run on the nodes at the end: release the nodes as they are, sweep (stop tasks that may be stopped, then release), or hold the nodes until they are empty or the length has passed once more."`
}

// Run adds the windows and protected times and prints their numbers.
func (c *drainAdd) Run() error {
	cal, err := c.requestedCalendar()
	if err != nil {
		return err
	}
	if err := c.withStore(func(s *maintenancestore.Store) error { return s.AddEvents(cal, time.Now()) }); err != nil {
		return err
	}
	fmt.Printf("%d windows, %d protected times added\n", len(cal.Windows), len(cal.Protected))
	return nil
}

// requestedCalendar returns the calendar to add: the content of the file, or the one window that the flags describe.
func (c *drainAdd) requestedCalendar() (*calendar.Calendar, error) {
	if c.File != "" {
		in, err := openInput(c.File)
		if err != nil {
			return nil, err
		}
		return ics.Decode(in)
	}
	zone, err := time.LoadLocation(c.TZ)
	if err != nil {
		return nil, err
	}
	start, err := time.ParseInLocation("2006-01-02T15:04", c.Start, zone)
	if err != nil {
		return nil, fmt.Errorf("--start: %w", err)
	}
	window := calendar.Window{
		ID: c.ID, Start: start, Duration: c.Duration, Rule: c.Rule, Lead: c.Lead, Slack: c.Slack,
		Priority: c.Priority, CreatedAt: time.Now().UTC().Truncate(time.Second),
	}
	window.Ending = calendar.Ending(slices.Index([]string{"release", "sweep", "hold"}, c.Ending))
	targets := 0
	for scope, target := range []string{c.Node, c.Cell, c.Zone} {
		if target != "" {
			window.Scope, window.Target = calendar.Scope(scope), target
			targets++
		}
	}
	if targets != 1 {
		return nil, errors.New("exactly one of --node, --cell and --zone is required")
	}
	if window.ID == "" {
		window.ID = strings.ToLower(fmt.Sprintf("%s-%s-%s", window.Scope, window.Target, start.Format("20060102-1504")))
	}
	return &calendar.Calendar{Windows: []calendar.Window{window}}, nil
}

// windowTime is the format in which starts and ends of windows are printed.
const windowTime = "2006-01-02 15:04 MST"

// drainList lists windows and protected times.
type drainList struct {
	stateFlag
	ICal bool `name:"ical" help:"Print iCalendar instead of a table."`
}

// Run prints the windows and protected times as a table or as iCalendar.
func (c *drainList) Run() error {
	cal, err := c.calendar()
	if err != nil {
		return err
	}
	if c.ICal {
		return ics.Encode(os.Stdout, cal, time.Now())
	}
	out := newTable(os.Stdout, "NAME\tWHAT\tFIRST START\tLENGTH\tRULE\tSLACK\tPRIORITY")
	for _, w := range cal.Windows {
		out.row("%s\t%s %s\t%s\t%s\t%s\t%s\t%d", w.ID, w.Scope, w.Target, w.Start.Format(windowTime), w.Duration,
			w.Rule, w.Slack, w.Priority)
	}
	for _, p := range cal.Protected {
		out.row("%s\tprotected\t%s\t%s\t%s\t\t", p.ID, p.Start.Format(windowTime), p.Duration, p.Rule)
	}
	return out.flush()
}

// drainShow shows one window.
type drainShow struct {
	stateFlag
	ID string `arg:"" help:"Name of the window."`
}

// Run prints the window and its drains.
func (c *drainShow) Run() error {
	cal, err := c.calendar()
	if err != nil {
		return err
	}
	var drains []maintenancestore.Drain
	if err := c.withStore(func(s *maintenancestore.Store) error { drains, err = s.Drains(); return err }); err != nil {
		return err
	}
	known := false
	for _, w := range cal.Windows {
		if w.ID == c.ID {
			known = true
			fmt.Printf("%s: %s %s, first start %s, length %s, lead %s, slack %s, rule %q, at the end: %s\n", w.ID, w.Scope, w.Target,
				w.Start.Format(windowTime), w.Duration, w.Lead, w.Slack, w.Rule, w.Ending)
		}
	}
	for _, drain := range drains {
		if drain.Verdict.Window == c.ID {
			known = true
			fmt.Printf("  %s: %s, %d nodes, %s to %s\n", drain.Verdict.ScheduledStart.Format(windowTime), drain.Stage,
				len(drain.Verdict.Nodes), drain.Verdict.DrainStart.Format("15:04"), drain.Verdict.End.Format(windowTime))
		}
	}
	if !known {
		return fmt.Errorf("%q: %w", c.ID, maintenancestore.ErrNotFound)
	}
	return nil
}

// drainCancel cancels a window or one occurrence.
type drainCancel struct {
	stateFlag
	ID    string `arg:"" help:"Name of the window."`
	Start string `help:"Only the occurrence that starts at this time, RFC 3339."`
}

// Run cancels the window, or the occurrence that starts at the given time.
func (c *drainCancel) Run() error {
	var start time.Time
	if c.Start != "" {
		var err error
		if start, err = time.Parse(time.RFC3339, c.Start); err != nil {
			return fmt.Errorf("--start: %w", err)
		}
	}
	return c.withStore(func(s *maintenancestore.Store) error { return s.CancelWindow(c.ID, start, time.Now()) })
}

// drainUsual prints the measured load by hour of the week, or publishes a table of the usual load.
type drainUsual struct {
	stateFlag
	File  string `arg:"" optional:"" help:"Publish the table in this file instead of printing the measured load; - reads standard input."`
	Clear bool   `help:"Withdraw the published table."`
}

// Run publishes the table, withdraws it, or prints the measured load.
func (c *drainUsual) Run() error {
	if c.Clear {
		return c.withStore(func(s *maintenancestore.Store) error { return s.PublishLoad(nil) })
	}
	if c.File == "" {
		return c.withStore(func(s *maintenancestore.Store) error {
			measured, _, err := s.Loads()
			if err != nil {
				return err
			}
			return measured.Table().Write(os.Stdout)
		})
	}
	in, err := openInput(c.File)
	if err != nil {
		return err
	}
	table, err := calendar.ReadTable(in)
	if err != nil {
		return err
	}
	return c.withStore(func(s *maintenancestore.Store) error { return s.PublishLoad(table) })
}

// drainSimulate prints how the windows of a number of days would be planned.
type drainSimulate struct {
	stateFlag
	Site string `required:"" type:"existingfile" help:"Site file; its limits apply."`
	From string `help:"First day, such as 2026-03-02; default: today."`
	Days int    `default:"31" help:"Number of days."`
}

// Run prints a table of the occurrences of all windows and the decision on each.
func (c *drainSimulate) Run() error {
	config, err := site.Load(c.Site)
	if err != nil {
		return err
	}
	from := time.Now().UTC().Truncate(24 * time.Hour)
	if c.From != "" {
		if from, err = time.Parse("2006-01-02", c.From); err != nil {
			return fmt.Errorf("--from: %w", err)
		}
	}
	fleet, err := lastFleet(c.State, config)
	if err != nil {
		return err
	}
	cal, err := c.calendar()
	if err != nil {
		return err
	}
	var load calendar.LoadEstimate
	var source string
	if err := c.withStore(func(s *maintenancestore.Store) error {
		measured, published, err := s.Loads()
		load, source = calendar.ChooseEstimate(measured, published, config.Cluster.Schedulers)
		return err
	}); err != nil {
		return err
	}
	fmt.Printf("%d nodes in the last node list; usual load: %s\n", len(fleet), source)
	out := newTable(os.Stdout, "WINDOW\tCALENDAR\tVERDICT\tDRAINS FROM\tOUT\tBACK\tNODES\tMOST OUT\tWHY")
	for _, v := range calendar.Plan(cal, fleet, config.Maintenance, load, from, from.AddDate(0, 0, c.Days)) {
		const at = "2 Jan 15:04"
		if v.Outcome == calendar.Refused {
			out.row("%s\t%s\trefused\t\t\t\t%d\t\t%s", v.Window, v.ScheduledStart.Format(at), len(v.Nodes), v.Reason)
			continue
		}
		out.row("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.0f%%\t%s", v.Window, v.ScheduledStart.Format(at), v.Outcome, v.DrainStart.Format(at),
			v.Start.Format(at), v.End.Format(at), len(v.Nodes), 100*v.FleetFraction, v.Reason)
	}
	return out.flush()
}

// lastFleet returns the nodes in the last node list that a scheduler stored. The scheduler may be running.
func lastFleet(folder string, config *site.Config) (fleet []calendar.Node, err error) {
	list, err := state.ReadList(folder)
	if err != nil || list == nil {
		return nil, err
	}
	for _, entry := range list.Entries() {
		if kind := slices.Index(config.MachineKinds, entry.Kind); kind >= 0 {
			fleet = append(fleet, calendar.Node{
				ID: strconv.FormatUint(uint64(entry.ID), 10), Zone: entry.Zone, Cell: entry.Cell, Kind: entry.Kind,
				Cores: config.Cluster.KindCores[kind], Memory: config.Cluster.KindMemory[kind],
			})
		}
	}
	return fleet, nil
}
