package main

import "maps"

const second = 1_000_000_000

// site is a small deployment, with the figures that its brief gives.
type site struct {
	name    string
	classes []map[string]any
	tenants []map[string]any
	kinds   []string
	zones   []string
	report  map[string]any
	info    map[string]any
	push    bool
	grace   float64 // s for which a draining node may still be sent something
	fall    float64
	tries   int
}

func class(name, effect, group string, aim, deadline, window, worth float64) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "group": group, "aim-ns": aim * second, "deadline-ns": deadline * second, "window-ns": window * second,
		"worth": worth, "late-worth": 0.1, "stays": true,
	}
}

var mainCampus = site{
	name: "main-campus",
	classes: []map[string]any{
		class("log-check", "free", "all", 0.7, 5, 5, 1), class("upload-ingest", "guarded", "zone", 1, 5, 8, 5),
		class("score-run", "single_shot", "all", 4.5, 10, 5, 3),
	},
	tenants: []map[string]any{{"name": "falaj-radio", "portion": 0.53}, {"name": "qurum-dx", "portion": 0.47}},
	kinds:   []string{"std-40", "big-64"}, zones: []string{"north-hall", "east-hall", "south-hall"},
	report: map[string]any{"fields": []string{"x0", "x1"}, "how": "piggyback"},
	info: map[string]any{
		"class-priority": []int{0, 1, 1}, "cold-bears": 29.0, "cores-multiple": 2.0, "memory-multiple": 1.5, "cpu-of-kind": []float64{40, 64},
		"mem-of-kind": []float64{70, 110}, "displaces": false, "kind-by-class": []int{-1, -1, -1}, "lists-free": true, "measured-by": "asked",
		"most-together": []int{2, 2, 2}, "spread-over": []string{"silent", "silent", "silent"}, "says-pressure": true,
		"start-seconds": []float64{10, 10, 10},
	},
	grace: 2, fall: 4, tries: 4,
}

var chaguanas = site{
	name: "chaguanas-dc", push: true,
	classes: []map[string]any{class("till-sync", "free", "all", 1, 5, 5, 3), class("settlement", "single_shot", "all", 4, 8, 5, 5)},
	tenants: []map[string]any{{"name": "central-market", "portion": 0.6}, {"name": "arima-stalls", "portion": 0.4}},
	kinds:   []string{"nodo-chico", "nodo-grande"}, zones: []string{"room-a", "room-b", "room-c"},
	report: map[string]any{"fields": []string{"x0", "x1", "queue", "util"}, "how": "pull"},
	info: map[string]any{
		"class-priority": []int{0, 2}, "cold-bears": 12.0, "cores-multiple": 2.5, "memory-multiple": 1.5, "cpu-of-kind": []float64{32, 64},
		"mem-of-kind": []float64{60, 110}, "displaces": true, "kind-by-class": []int{-1, 1}, "lists-free": true, "measured-by": "asked",
		"most-together": []int{1, 1}, "spread-over": []string{"silent", "machine"}, "says-pressure": false, "start-seconds": []float64{10, 12},
	},
	grace: 0.5, fall: 2, tries: 3,
}

// settings returns the site's settings as the configuration of one of its schedulers holds them.
func (s site) settings(index, of int) map[string]any {
	info := map[string]any{
		"by-service": false, "mean-memory": 2.1, "unit-cores": 1.4, "says-yes": "running", "settle-ns": 3.0 * second, "tells-use": true,
		"evict-weight": 2.0, "refused-price": 0.02,
	}
	maps.Copy(info, s.info)
	discovery := "ask"
	if s.push {
		discovery = "push"
	}
	return map[string]any{
		"clients": map[string]any{"marks-retry": true}, "discovery": discovery, "family": "place", "instances": of, "self-index": index,
		"family-info": info, "kinds": s.kinds, "locality": 0, "over-share-worth": 0.1,
		"goal": map[string]any{"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.3},
		"policy-limits": map[string]any{
			"cancel": true, "conn-idle-ns": 30.0 * second, "connect-timeout-ns": 0.25 * second, "cpu-us-per-s": 500000, "max-attempts": s.tries,
			"max-retry-after-ns": 3.0 * second, "may-duplicate": false, "may-tell": false, "open-cap": 1000000, "probes": true, "retry-after": false,
		},
		"prices":   map[string]any{"discovery": 0.0047, "fleet": 0.15, "moves": 0.04, "probe": 0.0042, "waste": 0.074},
		"projects": s.tenants, "report": s.report, "services": s.classes,
		"rules": map[string]any{
			"ask-every-ns": 10.0 * second, "cold-from": 0.17, "cold-ns": 16.0 * second, "drain-grace-ns": s.grace * second, "fall-multiple": s.fall,
			"grace-to-answer-ns": 8000000, "overload-for-ns": 2.0 * second,
		},
		"step-ns": 2000000, "tier": 0, "tiers": []string{"fleet"}, "value-by": "work", "weights": "silent", "zones": s.zones,
	}
}
