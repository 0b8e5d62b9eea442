// Ravenpond places long-running work on a cluster's machines. Run it with --help for its commands.
package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/renameio/v2"
	"github.com/rs/zerolog"

	"ravenpond/internal/admin"
	"ravenpond/internal/keys"
	"ravenpond/internal/lab/cores"
	"ravenpond/internal/lab/drill"
	"ravenpond/internal/lab/load"
	"ravenpond/internal/lab/month"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/state/tenants"
)

// commands are the program's, as the argument library reads them.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run a scheduler."`
	Platform platformCommand `cmd:"" help:"Run a scheduler on the platform, as GW_CONFIG, GW_NAME and GW_LISTEN say."`
	Site     struct {
		Check   checkCommand   `cmd:"" help:"Name every fault of a site file, with its line."`
		Schema  schemaCommand  `cmd:"" help:"Print the XML schema of site files."`
		Example exampleCommand `cmd:"" help:"Print a site file to start from."`
	} `cmd:"" help:"Site files."`
	Drain   drainCommands  `cmd:"" help:"Maintenance windows."`
	Tenant  tenantCommands `cmd:"" help:"Tenants of a hosted service, in a state folder."`
	Admin   adminCommands  `cmd:"" help:"Tenants of a hosted service, by the administration API of a running scheduler."`
	Keys    keysCommands   `cmd:"" help:"Authority and certificates of the administration."`
	Drill   drillCommand   `cmd:"" help:"Play a scripted bad day on loopback and audit the rules."`
	Members membersCommand `cmd:"" help:"Print what a scheduler holds of the others."`
	Lab     struct {
		Load  loadCommand        `cmd:"" help:"Load a scheduler on loopback and print its latency and CPU time."`
		Cores shardsCommand      `cmd:"" help:"Measure several shards, and check that none ever shares an allocation."`
		Month maintenanceCommand `cmd:"" help:"Run a month of maintenance windows on a virtual clock."`

		Run      runCommand          `cmd:"" help:"Run the program on a virtual clock and network under faults drawn from seeds."`
		Members  membershipCommand   `cmd:"" help:"Play or measure schedulers that know each other, on a virtual clock and network."`
		Procs    clusterCommand      `cmd:"" help:"Play a script of faults for many scheduler processes on loopback."`
		Herd     balanceCommand      `cmd:"" help:"How evenly many schedulers load nodes, beside baselines; simulated."`
		Draw     drawCommand         `cmd:"" help:"Print the script of a seed."`
		Replay   replayCommand       `cmd:"" help:"Play a script."`
		Compare  compareCommand      `cmd:"" help:"Compare two placement policies on the same days."`
		Order    orderCommand        `cmd:"" help:"Put the placement policies in order on days of each trouble."`
		Clubs    tenantLoadCommand   `cmd:"" help:"Measure tenants beside one that floods, with and without their lines."`
		Removals removalsCommand     `cmd:"" help:"Remove tenants under load while the scheduler is killed."`
		Grow     growCommand         `cmd:"" help:"Play calm days of growing size and print what they cost."`
		ScaleFit scaleFitCommand     `cmd:"" help:"Fit lines and models to the results of scale runs."`
		Regions  scaleRegionsCommand `cmd:"" name:"scale-regions" help:"Cut regions from each other for an hour; simulated."`
		States   modelCheckCommand   `cmd:"" help:"Explore exhaustively what can become of one allocation in a small world."`
		Scale    scaleCommand        `cmd:"" help:"Measure real schedulers beside thousands of hollow nodes and hundreds of hollow schedulers on loopback."`
		Shrink   shrinkCommand       `cmd:"" help:"Take out of a script that breaks something what it does not need for that."`

		ScaleNodes      scaleNodesCommand      `cmd:"" hidden:"" help:"Hollow nodes of a scale run; orders come on standard input."`
		ScaleSchedulers scaleSchedulersCommand `cmd:"" hidden:"" help:"Hollow schedulers of a scale run; orders come on standard input."`
	} `cmd:"" help:"Measurements and experiments."`
}

func main() {
	var c commands
	ctx, stop := drill.Interrupted()
	defer stop()
	k := kong.Parse(&c, kong.Name("ravenpond"), kong.Description("A scheduler for long-running work."),
		kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := k.Run(); err != nil {
		stop()
		fmt.Fprintln(os.Stderr, "ravenpond:", err)
		os.Exit(1)
	}
}

type serveCommand struct {
	Site          string `required:"" type:"existingfile" help:"The site file."`
	State         string `required:"" type:"path" help:"Folder for what outlives the process."`
	Name          string `default:"s0" help:"The scheduler's name, the same at each start."`
	Index         int    `default:"0" help:"Its number among all schedulers, from 0."`
	Seed          uint64 `default:"0" help:"Seed of its chance; 0 draws one."`
	ClientListen  string `name:"owners" help:"Listen for owners here instead of where the site file says."`
	AddressFile   string `type:"path" help:"Write the owners' address to this file once they may connect."`
	Log           string `enum:"json,plain" default:"json" help:"Form of the log: json or plain."`
	Keys          string `type:"path" help:"Folder of keys of the administration, where the site file has its address."`
	KeyName       string `default:"server" help:"Name of the server's certificate there."`
	Profile       string `type:"path" xor:"profile" help:"Write a CPU profile of the whole run to this file."`
	Level         string `enum:"debug,info,warn" default:"info" help:"debug adds a line for each try."`
	ProfileWindow string `type:"path" xor:"profile" help:"Write a CPU profile of the time between two signals SIGUSR1 to this file, and a heap profile beside it."`
	Zone          string `help:"The zone in which the scheduler runs, one of the site file's."`
}

func newLogger(form, level string, out io.Writer) (zerolog.Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	if form == "plain" {
		out = zerolog.ConsoleWriter{Out: out}
	}
	return zerolog.New(out).Level(minLevel).With().Timestamp().Logger(), nil
}

func (c *serveCommand) Run(ctx context.Context) error {
	deployment, err := site.Load(c.Site)
	if err != nil {
		return err
	}
	if c.Index < 0 || c.Index >= deployment.Cluster.Schedulers {
		return fmt.Errorf("index %d: the site file has schedulers 0 to %d", c.Index, deployment.Cluster.Schedulers-1)
	}
	initial := *deployment
	if c.ClientListen != "" {
		deployment.ClientsListen = c.ClientListen
	}
	log, err := newLogger(c.Log, c.Level, os.Stderr)
	if err != nil {
		return err
	}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if c.Profile != "" {
		stopProfile, err := startCPUProfile(c.Profile)
		if err != nil {
			return err
		}
		defer stopProfile()
	}
	if c.ProfileWindow != "" {
		windowDone := make(chan struct{})
		window, closeWindow := context.WithCancel(ctx)
		go func() {
			defer close(windowDone)
			profileOnSignals(window, c.ProfileWindow, func(err error) { log.Error().Str("mode", "profile").Err(err).Msg("not written") })
		}()
		defer func() {
			closeWindow()
			<-windowDone
		}()
	}
	var clientTLS *tls.Config
	if deployment.AdminListen != "" || deployment.ClientsTLS {
		if c.Keys == "" {
			return errors.New("the site file wants TLS, for owners or for the administration: --keys is expected")
		}
		guard, err := keys.NewGuard(c.Keys, c.KeyName)
		if err != nil {
			return err
		}
		if deployment.ClientsTLS {
			clientTLS = guard.ServerConfig()
		}
		stopProfile, err := c.serveAdmin(ctx, deployment, guard, log.With().Str("scheduler", c.Name).Logger())
		if err != nil {
			return err
		}
		defer stopProfile()
	}
	var addressErr error
	resize := make(chan int)
	go c.watchSiteFile(ctx, &initial, log, resize)
	scheduler := serve.Config{
		Resize: resize, TLS: clientTLS, Site: deployment, Name: c.Name, Index: c.Index, Folder: c.State, Seed: seed, Zone: c.Zone,
		Log: log.With().Str("scheduler", c.Name).Logger(), Ready: func(owners string) {
			if c.AddressFile != "" {
				addressErr = renameio.WriteFile(c.AddressFile, []byte(owners+"\n"), 0o640)
			}
		},
	}
	return errors.Join(serve.Run(ctx, scheduler), addressErr)
}

// serveAdmin looks after the keys, and serves the administration API where it has an address, until the scheduler ends; ended
// waits for that.
func (c *serveCommand) serveAdmin(ctx context.Context, place *site.Config, guard *keys.Guard, log zerolog.Logger) (ended func(), err error) {
	api := &admin.Server{Open: func() (*tenants.Store, error) { return tenants.Open(c.State, place.MaxHostedTenants) }, Guard: guard, Log: log, Now: time.Now}
	ctx, stop := context.WithCancel(ctx)
	done, ready := make(chan error, 1), make(chan struct{})
	go func() {
		if place.AdminListen == "" {
			close(ready)
			guard.Watch(ctx, time.Now, func(_ bool, line string) { log.Warn().Str("mode", "keys").Msg(line) })
			done <- nil
			return
		}
		done <- api.Serve(ctx, place.AdminListen, func(string) { close(ready) })
	}()
	select {
	case <-ready:
	case err := <-done:
		stop()
		return nil, err
	}
	return func() {
		stop()
		if err := <-done; err != nil {
			log.Error().Str("mode", "admin").Err(err).Msg("administration ended")
		}
	}, nil
}

// watchSiteFile follows the count of shards in the site file, which is read anew at each SIGHUP, until the context ends.
func (c *serveCommand) watchSiteFile(ctx context.Context, first *site.Config, log zerolog.Logger, resize chan<- int) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		n := 0
		place, err := site.Load(c.Site)
		if err == nil {
			n, err = first.Resized(place)
		}
		if err != nil {
			log.Error().Str("mode", "shards").Err(err).Msg("site file not taken, going on as before")
			continue
		}
		select {
		case resize <- n:
		case <-ctx.Done():
		}
	}
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"The site file."`
}

func (c *checkCommand) Run() error {
	place, err := site.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: site %s, %d job types, %d tenants, %d machine kinds: no faults\n", c.File, place.Name,
		len(place.JobClasses), len(place.Tenants), len(place.MachineKinds))
	return nil
}

type schemaCommand struct{}

func (schemaCommand) Run() error { fmt.Print(site.Schema); return nil }

type exampleCommand struct{}

func (exampleCommand) Run() error { fmt.Print(site.Example); return nil }

type drillCommand struct {
	Day         string `type:"existingfile" help:"Day file; without it the day in the program."`
	Site        string `type:"existingfile" help:"Site file with 127.0.0.1:0 for both addresses; without it the one in the program."`
	Seed        uint64 `default:"1" help:"Seed of the day's chance."`
	Out         string `type:"path" help:"Folder for logs and the trace; without it a new one in the temporary folder."`
	Shards      int    `default:"1" help:"Shards of each scheduler process."`
	Connections string `name:"share" enum:"own,shared,informed" default:"shared" help:"What they share: own, shared or informed connections."`
	Placement   string `name:"place" enum:"service,tenant,in-turn" default:"service" help:"How allocations are placed on them."`
	Quiet       bool   `help:"Print the table alone."`
	ShowDay     bool   `help:"Print the day in the program, and play nothing."`
}

func (c *drillCommand) Run(ctx context.Context) error {
	if c.ShowDay {
		fmt.Print(drill.DefaultDay)
		return nil
	}
	day, source, err := readOrDefault(c.Day, drill.DefaultDay)
	if err != nil {
		return err
	}
	text, _, err := readOrDefault(c.Site, drill.DefaultSite)
	if err != nil {
		return err
	}
	if c.Shards > 1 {
		text = withShardsElement(text, c.Shards, c.Connections, c.Placement)
	}
	place, faults := site.Read(strings.NewReader(text))
	if len(faults) > 0 {
		return fmt.Errorf("site: %s", faults[0])
	}
	plan, faults := drill.ReadDay(strings.NewReader(day), place)
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", source, f)
	}
	if plan == nil {
		return fmt.Errorf("%s: %d faults", source, len(faults))
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "ravenpond-drill-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(c.Out, 0o750); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	report := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if c.Quiet {
		report = func(string, ...any) {}
	}
	report("day %s, seed %d, logs and trace in %s", plan.Name, c.Seed, c.Out)
	res, err := drill.Play(ctx, drill.Drill{
		Day: plan, Deployment: place, SiteText: text, Command: []string{self}, Seed: c.Seed,
		OutDir: c.Out, Logf: report,
	})
	if err != nil {
		return err
	}
	if err := res.Print(os.Stdout); err != nil {
		return err
	}
	if n := len(res.Violations); n > 0 {
		os.Exit(2)
	}
	return nil
}

type maintenanceCommand struct {
	Seed      uint64 `default:"1" help:"First seed."`
	Seeds     uint64 `default:"1" help:"How many seeds."`
	Days      int    `default:"30" help:"Days of each run."`
	Processes int    `default:"8" help:"Scheduler processes."`
}

func (c *maintenanceCommand) Run() error {
	fmt.Printf("%6s %8s %6s %10s %8s %9s %7s %9s %6s  %-16s\n", "seed", "windows", "kept", "postponed", "refused", "offers", "moved",
		"restarts", "halls", "trace")
	late, overlaps := 0, 0
	results := make([]chan month.Report, c.Seeds)
	running := make(chan struct{}, runtime.NumCPU())
	for i := range results {
		results[i] = make(chan month.Report, 1)
		go func() {
			running <- struct{}{}
			results[i] <- month.Month{Seed: c.Seed + uint64(i), Days: c.Days, Processes: c.Processes}.Play()
			<-running
		}()
	}
	for i, got := range results {
		r := <-got
		fmt.Printf("%6d %8d %6d %10d %8d %9d %7d %9d %6d  %016x %s\n", c.Seed+uint64(i), r.Windows, r.Kept, r.Postponed, r.Refused,
			r.Offers, r.MovedOff, r.Restarts, r.Lost, r.Trace, r.FirstFailure)
		late, overlaps = late+r.LatePlacements, overlaps+r.Overlaps
	}
	fmt.Printf("late placements: %d\nforbidden overlaps: %d\n", late, overlaps)
	if late+overlaps > 0 {
		return fmt.Errorf("%d breaks", late+overlaps)
	}
	return nil
}

type shardsCommand struct {
	ShardCounts   []int         `name:"counts" default:"1,2,4,8" help:"Counts of shards."`
	Nodes         int           `default:"130" help:"Stand-in nodes."`
	Rate          float64       `default:"1500" help:"Asks a second for latency and CPU time."`
	OverloadRate  float64       `name:"flood" default:"9000" help:"Asks a second for throughput: more than can be carried."`
	Duration      time.Duration `name:"last" default:"4s" help:"Length of each trial over sockets."`
	Requests      int           `name:"asks" default:"60000" help:"Asks of each trial in memory."`
	CheckRequests int           `name:"check" default:"500000" help:"Asks of the check, at 4 and at 8 shards each; 0 leaves it out."`
	Tables        bool          `default:"true" negatable:"" help:"Print the tables."`
	Overload      bool          `default:"true" negatable:"" name:"overload" help:"Print the table of overload."`
	Seed          uint64        `default:"1" help:"Seed of the check."`
}

func (c *shardsCommand) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	out, err := os.MkdirTemp("", "ravenpond-cores-")
	if err != nil {
		return err
	}
	t := cores.Measurements{
		Command: []string{self}, ShardCounts: c.ShardCounts, Nodes: c.Nodes, Rate: c.Rate, OverloadRate: c.OverloadRate, Duration: c.Duration,
		Requests: c.Requests, Cores: runtime.NumCPU(), Out: out,
	}
	if c.Tables {
		if err := t.Sockets(ctx, os.Stdout); err != nil {
			return err
		}
		if err := t.Memory(ctx, os.Stdout); err != nil {
			return err
		}
	}
	if c.Overload {
		if err := t.Overload(ctx, os.Stdout); err != nil {
			return err
		}
	}
	if c.CheckRequests == 0 {
		return nil
	}
	broken, err := cores.CheckMany(ctx, os.Stdout, c.CheckRequests, []int{4, 8}, c.Seed)
	if err == nil && broken > 0 {
		err = fmt.Errorf("%d breaks", broken)
	}
	return err
}

type loadCommand struct {
	Rates         []float64     `default:"500,1000,2000,4000" help:"Asks a second, a trial for each."`
	Nodes         int           `default:"130" help:"Stand-in nodes."`
	Clients       int           `name:"owners" default:"4" help:"Connections that ask."`
	Services      int           `default:"50" help:"Services that the asks belong to."`
	WarmUp        time.Duration `name:"warm" default:"2s" help:"Load before the measurement begins."`
	Duration      time.Duration `name:"last" default:"6s" help:"Length of the measurement."`
	RunTime       time.Duration `name:"life" default:"300ms" help:"Mean time that an allocation runs."`
	Profile       string        `type:"path" help:"Write a CPU profile of the scheduler process to this file."`
	Seed          uint64        `default:"1" help:"Seed of the arrivals."`
	BurstInterval time.Duration `name:"every" help:"A burst begins so often."`
	BurstDuration time.Duration `name:"burst" default:"200ms" help:"Length of a burst."`
	BurstFactor   float64       `name:"times" default:"3" help:"As many asks in a burst as else."`
	Ramp          bool          `help:"Look for the highest load that keeps a service, from the first rate on."`
	MaxP99        time.Duration `name:"p-99" default:"50ms" help:"The service: start p99 at most."`
	MinServed     float64       `name:"served" default:"0.99" help:"The service: part of the asks served at least."`
	Shards        int           `default:"1" help:"Shards of the scheduler."`
	MinWorkingSet int           `name:"set" help:"The scheduler works with a set of so many nodes at least; 0: with all."`
	Schedulers    int           `name:"known" default:"30" help:"Schedulers that share the nodes out, where they work with sets."`
	Unresponsive  bool          `name:"mute" help:"Nodes never answer, so that allocations stay open until their expiry."`
	Out           string        `type:"path" help:"Folder for logs; without it a new one in the temporary folder."`
}

func (c *loadCommand) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "ravenpond-load-"); err != nil {
			return err
		}
	}
	fmt.Printf("%d cores, %d nodes, %d owners; load and stand-ins share the machine; times in ms\n", runtime.NumCPU(),
		c.Nodes, c.Clients)
	site := load.Site
	if c.Shards > 1 {
		site = withShardsElement(site, c.Shards, "shared", "service")
	}
	if c.MinWorkingSet > 0 {
		site = load.WithWorkingSet(site, c.Schedulers, c.MinWorkingSet)
	}
	trial := func(rate float64) (*load.Figures, error) {
		return load.Run(ctx, load.Trial{
			Command: []string{self}, Site: site, Nodes: c.Nodes, WorkingSet: c.MinWorkingSet, Clients: c.Clients, Seed: c.Seed,
			Burst: load.Burst{Interval: c.BurstInterval, Duration: c.BurstDuration, Factor: c.BurstFactor}, Rate: rate, Warm: c.WarmUp, Duration: c.Duration,
			Services: c.Services, TaskRuntime: float64(c.RunTime) / 1e6, DropAnswers: c.Unresponsive, OutDir: c.Out, Profile: c.Profile,
		})
	}
	load.PrintHeader(os.Stdout)
	if c.Ramp && len(c.Rates) > 0 {
		highest, err := load.FindCapacity(ctx, c.Rates[0], 0.05, load.Objective{StartP99: c.MaxP99, ServedFraction: c.MinServed}, trial, os.Stdout)
		if err != nil {
			return err
		}
		fmt.Printf("highest load with %g%% served and a start p99 of %s: %.0f a second\n", 100*c.MinServed, c.MaxP99, highest)
		return nil
	}
	for _, rate := range c.Rates {
		f, err := trial(rate)
		if err != nil {
			return err
		}
		load.PrintRow(os.Stdout, rate, f)
	}
	return nil
}

// withShardsElement puts shards into the text of a site file that has none.
func withShardsElement(text string, count int, share, placement string) string {
	return strings.Replace(text, "<node-list", fmt.Sprintf("<shards count=\"%d\" connections=%q place=%q/>\n  <node-list",
		count, share, placement), 1)
}

func readOrDefault(path, text string) (string, string, error) {
	if path == "" {
		return text, "the day in the program", nil
	}
	b, err := os.ReadFile(path)
	return string(b), path, err
}
