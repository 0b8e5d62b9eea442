package site

import "ravenpond/internal/strictxml"

// hour is one hour in ms. Bounds of durations are in ms.
const hour = 3600e3

// Grammar defines the elements of site files, with their attributes, defaults and bounds. docs/operating.md describes their meaning.
var Grammar = &strictxml.Element{
	Name: "site", Attrs: []strictxml.Attr{{Name: "name", Kind: strictxml.Name, Required: true}},
	Children: []*strictxml.Element{
		{Name: "cluster", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "schedulers", Kind: strictxml.Integer, Required: true, Min: 1, Max: 100000},
			{Name: "list", Kind: strictxml.Enum, Required: true, Values: []string{"told", "asked"}},
			{Name: "ask-every", Kind: strictxml.Duration, Default: "10s", Min: 100, Max: hour},
			{Name: "step", Kind: strictxml.Duration, Default: "2ms", Min: 0.1, Max: 100},
			{Name: "tries", Kind: strictxml.Integer, Default: "4", Min: 1, Max: 200},
			{Name: "recall", Kind: strictxml.Bool, Default: "true"},
			{Name: "probe", Kind: strictxml.Bool, Default: "true"},
			{Name: "cores-limit", Kind: strictxml.Number, Required: true, Min: 0.1, Max: 100},
			{Name: "memory-limit", Kind: strictxml.Number, Required: true, Min: 0.1, Max: 100},
			{Name: "list-has-room", Kind: strictxml.Bool, Default: "true"},
			{Name: "reports", Kind: strictxml.Enum, Default: "asked", Values: []string{"asked", "used"}},
			{Name: "reports-come", Kind: strictxml.Enum, Default: "answers", Values: []string{"answers", "probes"}},
			{Name: "pushes-out", Kind: strictxml.Bool, Default: "false"},
			{Name: "mean-cores", Kind: strictxml.Number, Required: true, Min: 1e-6, Max: 1e6},
			{Name: "mean-memory", Kind: strictxml.Number, Required: true, Min: 1e-6, Max: 1e9},
			{Name: "fleet-price", Kind: strictxml.Number, Default: "0", Min: 0, Max: 1e6},
		}},
		{Name: "rules", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "drain-grace", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "cold-bears", Kind: strictxml.Number, Required: true, Min: 1, Max: 1e6},
			{Name: "cold-for", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "cold-window", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "answer-margin", Kind: strictxml.Duration, Default: "100ms", Min: 1, Max: 60e3},
			{Name: "settle", Kind: strictxml.Duration, Default: "3s", Min: 1, Max: hour},
		}},
		{Name: "zone", MinOccurs: 1, Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Required: true},
			{Name: "region", Kind: strictxml.Name},
			{Name: "hold", Kind: strictxml.Enum, Values: []string{"open", "closed"}},
		}},
		{Name: "way", Attrs: []strictxml.Attr{
			{Name: "from", Kind: strictxml.Name, Required: true},
			{Name: "to", Kind: strictxml.Name, Required: true},
			{Name: "takes", Kind: strictxml.Duration, Required: true, Min: 0, Max: hour},
		}},
		{Name: "machine", MinOccurs: 1, Key: "kind", Attrs: []strictxml.Attr{
			{Name: "kind", Kind: strictxml.Name, Required: true},
			{Name: "cores", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 1e6},
			{Name: "memory", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 1e9},
		}},
		{Name: "job-type", MinOccurs: 1, Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Required: true},
			{Name: "effect", Kind: strictxml.Enum, Required: true, Values: []string{"restartable", "tokened", "run-once"}},
			{Name: "group", Kind: strictxml.Enum, Values: []string{"all", "zone", "cell"}},
			{Name: "window", Kind: strictxml.Duration, Min: 1, Max: 24 * hour},
			{Name: "target", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "expiry", Kind: strictxml.Duration, Required: true, Min: 10, Max: hour},
			{Name: "value", Kind: strictxml.Number, Required: true, Min: 0, Max: 1e9},
			{Name: "machine", Kind: strictxml.Name},
			{Name: "spread", Kind: strictxml.Enum, Default: "anywhere", Values: []string{"anywhere", "node", "cell", "zone"}},
			{Name: "most", Kind: strictxml.Integer, Min: 1, Max: 1e6},
			{Name: "drain", Kind: strictxml.Enum, Values: []string{"early", "late", "run-out"}},
		}},
		{Name: "tenant", Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Required: true},
			{Name: "share", Kind: strictxml.Number, Required: true, Min: 0, Max: 1},
		}},
		{Name: "hosting", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "tenants", Kind: strictxml.Integer, Required: true, Min: 1, Max: 100000},
			{Name: "admin", Kind: strictxml.Address},
		}},
		{Name: "limits", MaxOccurs: 1, MinOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "open", Kind: strictxml.Integer, Required: true, Min: 1, Max: 1e7},
			{Name: "owners", Kind: strictxml.Integer, Default: "1000", Min: 1, Max: 1e6},
			{Name: "owner-queue", Kind: strictxml.Integer, Default: "20000", Min: 16, Max: 1e7},
			{Name: "node-queue", Kind: strictxml.Integer, Default: "262144", Min: 4096, Max: 1 << 30},
		}},
		{Name: "drains", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "fleet", Kind: strictxml.Number, Default: "0.25", Min: 0, Max: 1},
			{Name: "zone", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "machine", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "cold", Kind: strictxml.Integer, Default: "20", Min: 1, Max: 1e6},
			{Name: "margin", Kind: strictxml.Number, Default: "1.2", Min: 0.1, Max: 10},
			{Name: "guard", Kind: strictxml.Duration, Default: "5s", Min: 0, Max: hour},
		}},
		{Name: "shards", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "count", Kind: strictxml.Integer, Required: true, Min: 1, Max: 64},
			{Name: "most", Kind: strictxml.Integer, Min: 1, Max: 64},
			{Name: "connections", Kind: strictxml.Enum, Default: "shared", Values: []string{"own", "shared", "informed"}},
			{Name: "place", Kind: strictxml.Enum, Default: "service", Values: []string{"service", "tenant", "in-turn"}},
		}},
		{Name: "members", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "listen", Kind: strictxml.Address, Required: true},
			{Name: "seeds", Kind: strictxml.Text, Required: true},
			{Name: "key", Kind: strictxml.Text, Required: true},
			{Name: "advertise", Kind: strictxml.Address},
			{Name: "lends", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "stewards", Kind: strictxml.Text},
		}},
		{Name: "working-set", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "nodes-least", Kind: strictxml.Integer, Required: true, Min: 1, Max: 1e6},
			{Name: "sets-least", Kind: strictxml.Number, Default: "1", Min: 0, Max: 1e5},
			{Name: "spare", Kind: strictxml.Number, Default: "8", Min: 1, Max: 1e5},
			{Name: "per-start", Kind: strictxml.Number, Default: "1", Min: 0, Max: 1e3},
			{Name: "spread-least", Kind: strictxml.Integer, Default: "3", Min: 1, Max: 1e4},
			{Name: "narrow-after", Kind: strictxml.Duration, Default: "30s", Min: 100, Max: hour},
		}},
		{Name: "counts", MaxOccurs: 1, Attrs: []strictxml.Attr{{Name: "listen", Kind: strictxml.Address, Required: true}}},
		{Name: "node-list", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{{Name: "address", Kind: strictxml.Address, Required: true}}},
		{Name: "owners", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "listen", Kind: strictxml.Address, Required: true},
			{Name: "tls", Kind: strictxml.Bool, Default: "false"},
		}},
	},
}
