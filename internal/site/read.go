package site

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/strictxml"
	"ravenpond/logic"
)

// minRounds is the minimum number of rounds that placing an allocation takes.
const minRounds = 4

// maxIndex is the maximum number of zones, and of machine kinds, of a site, so that their indexes fit into a byte.
const maxIndex = 255

// shareTolerance is by how much the sum of the tenants' shares may exceed 1, to allow for rounding.
const shareTolerance = 1e-9

// reader fills a configuration from the root element and collects the faults.
type reader struct {
	root   *strictxml.Item
	config *Config
	faults []strictxml.Fault
}

// Read reads a site file. If the file has faults, the configuration is nil and the faults are in the order in which they were found.
func Read(in io.Reader) (*Config, []strictxml.Fault) {
	root, faults := strictxml.Read(in, Grammar)
	if root == nil {
		return nil, faults
	}
	r := &reader{root: root, config: &Config{}, faults: faults}
	r.readRules()
	r.readCluster()
	r.readZones()
	r.readRoutes()
	r.readMaintenance()
	r.readShards()
	r.readJobClasses(r.readMachineKinds())
	r.readListeners()
	r.readMembers()
	r.readWorkingSet()
	r.readTenants()
	r.checkSite()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return r.config, nil
}

// fault records a fault of an element.
func (r *reader) fault(item *strictxml.Item, format string, args ...any) {
	r.faults = append(r.faults, strictxml.Fault{Line: item.Line, Text: fmt.Sprintf(format, args...)})
}

func (r *reader) readRules() {
	c, rules, limits := r.config, r.root.Child("rules"), r.root.Child("limits")
	c.Name = r.root.Text("name")
	c.DrainGrace = rules.Number("drain-grace")
	c.AnswerMargin = rules.Number("answer-margin")
	c.SettleTime = rules.Number("settle")
	c.MaxOpen = limits.Int("open")
	c.MaxClients = limits.Int("owners")
	c.ClientQueue = limits.Int("owner-queue")
	c.NodeQueue = limits.Int("node-queue")
}

func (r *reader) readCluster() {
	cluster, rules := r.root.Child("cluster"), r.root.Child("rules")
	r.config.Cluster = logic.Cluster{
		Schedulers:         cluster.Int("schedulers"),
		PollsList:          cluster.Text("list") == "asked",
		ListMaxSilence:     cluster.Number("ask-every"),
		MinRoundInterval:   cluster.Number("step"),
		MaxAttempts:        cluster.Int("tries"),
		CanCancel:          cluster.Bool("recall"),
		CanProbe:           cluster.Bool("probe"),
		CoresOvercommit:    cluster.Number("cores-limit"),
		MemoryOvercommit:   cluster.Number("memory-limit"),
		ListsReportLoad:    cluster.Bool("list-has-room"),
		ReportsMeasureUse:  cluster.Text("reports") == "used",
		ReportFields:       []string{"x0", "x1"},
		ReportsPiggybacked: cluster.Text("reports-come") == "answers",
		SlowStartLimit:     rules.Number("cold-bears"),
		SlowStartDuration:  rules.Number("cold-for"),
		SlowStartWindow:    rules.Number("cold-window"),
		Preempts:           cluster.Bool("pushes-out"),
		MeanCores:          cluster.Number("mean-cores"),
		MeanMemory:         cluster.Number("mean-memory"),
		FleetPrice:         cluster.Number("fleet-price"),
	}
}

func (r *reader) readZones() {
	c := r.config
	c.ZoneHolds = map[string]string{}
	for _, zone := range r.root.Children("zone") {
		name := zone.Text("name")
		c.Zones = append(c.Zones, name)
		c.Regions = append(c.Regions, zone.Text("region"))
		if hold := zone.Text("hold"); hold != "" {
			c.ZoneHolds[name] = hold
		}
	}
}

// readRoutes reads the latencies between zones. A latency is the same in both directions.
func (r *reader) readRoutes() {
	latency := map[[2]string]float64{}
	r.config.RouteLatency = latency
	for _, route := range r.root.Children("way") {
		from, to := route.Text("from"), route.Text("to")
		for _, zone := range []string{from, to} {
			if !slices.Contains(r.config.Zones, zone) {
				r.fault(route, "<way>: unknown zone %q", zone)
			}
		}
		if _, duplicate := latency[[2]string{from, to}]; duplicate || from == to {
			r.fault(route, "<way>: from %q to %q is a duplicate or leads to the same zone", from, to)
		}
		latency[[2]string{from, to}] = route.Number("takes")
		latency[[2]string{to, from}] = route.Number("takes")
	}
}

// readMaintenance reads the limits on what may be out of service at once.
func (r *reader) readMaintenance() {
	limits := calendar.Limits{Fleet: 0.25, Zone: 0.5, Kind: 0.5, MaxWarmingUp: 20, LoadMargin: 1.2, ClockGuard: 5 * time.Second}
	if drains := r.root.Child("drains"); drains != nil {
		limits = calendar.Limits{
			Fleet:        drains.Number("fleet"),
			Zone:         drains.Number("zone"),
			Kind:         drains.Number("machine"),
			MaxWarmingUp: drains.Int("cold"),
			LoadMargin:   drains.Number("margin"),
			ClockGuard:   milliseconds(drains.Number("guard")),
		}
	}
	limits.WarmUp = milliseconds(r.root.Child("rules").Number("cold-for"))
	r.config.Maintenance = limits
}

// milliseconds converts a duration of the site file, in ms, to a time.Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (r *reader) readShards() {
	c := r.config
	c.Shards, c.MaxShards, c.Connections = 1, 1, SharedConnections
	shards := r.root.Child("shards")
	if shards == nil {
		return
	}
	c.Shards = shards.Int("count")
	c.Connections = ConnectionMode(shards.EnumIndex("connections"))
	c.ShardBy = shards.EnumIndex("place")
	c.MaxShards = c.Shards
	if shards.Has("most") {
		c.MaxShards = shards.Int("most")
	}
	if c.MaxShards < c.Shards {
		r.fault(shards, "<shards>: most %d is less than count %d", c.MaxShards, c.Shards)
	}
}

// readMachineKinds reads the machine kinds. It returns their indexes by name.
func (r *reader) readMachineKinds() map[string]int {
	c := r.config
	index := map[string]int{}
	for i, machine := range r.root.Children("machine") {
		kind := machine.Text("kind")
		index[kind] = i
		c.MachineKinds = append(c.MachineKinds, kind)
		c.Cluster.KindCores = append(c.Cluster.KindCores, machine.Number("cores"))
		c.Cluster.KindMemory = append(c.Cluster.KindMemory, machine.Number("memory"))
	}
	return index
}

func (r *reader) readJobClasses(kinds map[string]int) {
	c := r.config
	for _, item := range r.root.Children("job-type") {
		class := r.readJobClass(item, kinds)
		policy := drainpace.DefaultPolicy(class.Semantics)
		if item.Has("drain") {
			policy = drainpace.Policy(item.EnumIndex("drain"))
		}
		c.DrainPolicies = append(c.DrainPolicies, policy)
		c.JobClasses = append(c.JobClasses, item.Text("name"))
		c.Deadlines = append(c.Deadlines, item.Number("expiry"))
		c.Cluster.JobClasses = append(c.Cluster.JobClasses, class)
	}
}

func (r *reader) readJobClass(item *strictxml.Item, kinds map[string]int) logic.JobClass {
	class := logic.JobClass{
		Semantics:         logic.RetrySemantics(item.EnumIndex("effect")),
		IdempotencyScope:  logic.IdempotencyScope(item.EnumIndex("group")),
		IdempotencyWindow: optionalNumber(item, "window"),
		LatencyObjective:  item.Number("target"),
		PriorityWeight:    item.Number("value"),
		NodeKind:          -1,
		Spread:            logic.SpreadScope(item.EnumIndex("spread")),
		MaxPerScope:       1,
	}
	if name := item.Text("machine"); name != "" {
		kind, ok := kinds[name]
		if !ok {
			r.fault(item, "<job-type>: no <machine> of kind %q", name)
		}
		class.NodeKind = kind
	}
	if idempotent := class.Semantics == logic.Idempotent; idempotent != item.Has("group") || idempotent != item.Has("window") {
		r.fault(item, "<job-type>: group and window are required if effect is tokened, and not allowed otherwise")
	}
	if spread := class.Spread != logic.Anywhere; spread != item.Has("most") {
		r.fault(item, "<job-type>: most is required if there is a spread, and not allowed otherwise")
	} else if spread {
		class.MaxPerScope = item.Int("most")
	}
	if item.Number("target") > item.Number("expiry") {
		r.fault(item, "<job-type>: target exceeds expiry")
	}
	if item.Number("expiry") <= r.config.AnswerMargin+minRounds*r.config.Cluster.MinRoundInterval {
		r.fault(item, "<job-type>: expiry leaves no time to place a task before the answer margin")
	}
	return class
}

// optionalNumber returns a numeric attribute, or 0 if it is absent.
func optionalNumber(item *strictxml.Item, name string) float64 {
	if !item.Has(name) {
		return 0
	}
	return item.Number(name)
}

func (r *reader) readListeners() {
	c, clients := r.config, r.root.Child("owners")
	c.ListAddress = r.root.Child("node-list").Text("address")
	c.ClientsListen = clients.Text("listen")
	c.ClientsTLS = clients.Bool("tls")
	if stats := r.root.Child("counts"); stats != nil {
		c.StatsListen = stats.Text("listen")
	}
}

func (r *reader) readMembers() {
	item := r.root.Child("members")
	if item == nil {
		return
	}
	m := Members{
		Listen:         item.Text("listen"),
		Seeds:          strings.Fields(item.Text("seeds")),
		Key:            item.Text("key"),
		Advertise:      item.Text("advertise"),
		Voters:         strings.Fields(item.Text("stewards")),
		LeasedFraction: item.Number("lends"),
	}
	if !isAddrPort(m.Listen) {
		r.fault(item, "<members>: listen %q: want an IP address and a port", m.Listen)
	}
	for _, seed := range m.Seeds {
		if at, err := netip.ParseAddrPort(seed); err != nil || at.Port() == 0 {
			r.fault(item, "<members>: seed %q: want an IP address and a port", seed)
		}
	}
	if m.Advertise != "" && !isAddrPort(m.Advertise) {
		r.fault(item, "<members>: advertise %q: want an IP address and a port", m.Advertise)
	}
	slices.Sort(m.Voters)
	if n := len(m.Voters); n != 0 && n != 3 && n != 5 || len(slices.Compact(slices.Clone(m.Voters))) != n {
		r.fault(item, "<members>: stewards %q: want the names of three or five different schedulers", item.Text("stewards"))
	}
	if len(m.Seeds) == 0 {
		r.fault(item, "<members>: seeds: want at least one address")
	}
	r.config.Members = m
}

// isAddrPort returns whether a text is an IP address and a port.
func isAddrPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func (r *reader) readWorkingSet() {
	item := r.root.Child("working-set")
	if item == nil {
		return
	}
	r.config.WorkingSet = WorkingSet{
		MinNodes:      item.Int("nodes-least"),
		Coverage:      item.Number("sets-least"),
		SpareFactor:   item.Number("spare"),
		NodesPerStart: item.Number("per-start"),
		MinPerStratum: item.Int("spread-least"),
		NarrowAfter:   item.Number("narrow-after"),
	}
	if r.config.Connections == OwnConnections {
		r.fault(item, "<working-set>: not allowed if connections of <shards> is own, because such shards cannot share a working set")
	}
}

func (r *reader) readTenants() {
	c, sum := r.config, 0.0
	for _, tenant := range r.root.Children("tenant") {
		c.Tenants = append(c.Tenants, tenant.Text("name"))
		c.Shares = append(c.Shares, tenant.Number("share"))
		sum += tenant.Number("share")
	}
	switch hosting := r.root.Child("hosting"); {
	case hosting != nil && len(c.Tenants) > 0:
		r.fault(hosting, "<hosting>: not allowed together with <tenant>, because hosted tenants are added and removed at run time")
	case hosting != nil: // the store of tenants has their shares, so the configuration limits none
		c.MaxHostedTenants, c.AdminListen = hosting.Int("tenants"), hosting.Text("admin")
		c.Tenants = make([]string, c.MaxHostedTenants)
		c.Shares = slices.Repeat([]float64{1}, c.MaxHostedTenants)
	case len(c.Tenants) == 0:
		r.fault(r.root, "<site>: want a <tenant> or <hosting>")
	}
	if sum > 1+shareTolerance {
		r.fault(r.root, "<tenant>: shares sum to %g, want at most 1", sum)
	}
}

// checkSite checks conditions that involve several elements.
func (r *reader) checkSite() {
	c := r.config
	if interval := c.Cluster.ListMaxSilence; c.Cluster.PollsList && interval < 4*c.DrainGrace/2 {
		r.fault(r.root.Child("cluster"), "<cluster>: ask-every %g ms leaves no time to poll the node list again within the drain grace", interval)
	}
	if len(c.Zones) > maxIndex || len(c.MachineKinds) > maxIndex {
		r.fault(r.root, "<site>: want at most %d zones and at most as many machine kinds", maxIndex)
	}
}
