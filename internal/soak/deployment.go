package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"finchlatch/feed"
)

// Parameters that the call servers get in their settings, and the tolerances of the checker. The checker judges by the same
// release time and grace time.
const (
	releaseWait    = 200 * time.Millisecond // rule 5: release time
	drainGrace     = time.Second            // rule 3: grace time
	connectTimeout = 500 * time.Millisecond
	slack          = 50 * time.Millisecond // tolerance of the checker on the time limits of rules 1 and 3
	tapSkew        = 20 * time.Millisecond // tolerance of the checker on the time between events on two connections, whose proxies read independently
)

// longestDeadline returns the longest deadline of all classes.
func (d *Deployment) longestDeadline() (longest time.Duration) {
	for _, c := range d.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}

// widthOf returns the number of circuits that a call of a class takes.
func (d *Deployment) widthOf(class string) int {
	for _, c := range d.Classes {
		if c.Name == class {
			return c.Width
		}
	}
	return 1
}

// settings returns the settings object that the platform gives to a call server, by its number and the number of call servers.
func (d *Deployment) settings(node, nodes int) map[string]any {
	var classes []map[string]any
	var holds, widths []int64
	for _, c := range d.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "worth": c.Worth, "late_share": 0.25, "target_ns": int64(c.Aim),
			"deadline_ns": int64(c.Deadline), "effect": "safe"})
		holds, widths = append(holds, int64(d.Hold)), append(widths, int64(c.Width))
	}
	return map[string]any{
		"tick_ns": 1000000, "instances": nodes, "my_number": node, "classes": classes,
		"family_info": map[string]any{"home_no": node, "layout": "meshed", "mean_hold_ns": holds, "channels_needed": widths,
			"release_ns": int64(releaseWait)},
		"limits": map[string]any{"cancel": d.Cancels, "probes": d.Probes, "max_attempts": d.Attempts,
			"connect_timeout_ns": int64(connectTimeout), "max_open": 2000, "max_retry_after_ns": int64(2 * time.Second)},
		"reporting": map[string]any{"fields": []string{"spare", "total"}},
		"rules": map[string]any{"drain_grace_ns": int64(drainGrace), "tip_after_ns": int64(3 * time.Second), "overload_factor": 2.0,
			"cold_from": 0.3, "cold_ns": int64(10 * time.Second)},
	}
}

// config returns the configuration file of a call server.
func (d *Deployment) config(name, listenAddr, discoveryAddr string, seed uint64, node, nodes int, snapshot feed.Snapshot) ([]byte, error) {
	return json.Marshal(map[string]any{"name": name, "listen": listenAddr, "journal": discoveryAddr, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": d.MemoryMB, "sockets": d.Descriptors}, "known": snapshot,
		"settings": d.settings(node, nodes)})
}
