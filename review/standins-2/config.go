package main

import "fmt"

// Figures of the pages' small deployment "Chivewind Fleet for Vanilla Pod Imports" (sites/almaty-vanilla-ops.toml).
const (
	memoryMB   = 134
	maxFiles   = 4100
	retrySlack = 56
	maxHeader  = 16384
	maxBody    = 4194304
	apiKey     = "n2ctnfzs989anu6wsjnb"
	host       = "desk.example"
)

// config is the operator's configuration: a service of runners of streams and one of plain requests.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, aim, priority, attempts int, resumable bool) map[string]any {
		r := map[string]any{"name": name, "hostname": host, "prefix": prefix, "route_kind": kind, "timeout_ms": timeout, "slo_ms": aim,
			"priority": priority, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming"}
		if kind == "streaming" {
			r["resumable"], r["gap_target_ms"] = resumable, 400
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-report", "/report/", "streaming", "llm", 6000, 800, 1, 2, true),
			route("r-chat", "/chat/", "streaming", "llm", 15000, 500, 0, 1, false),
			route("r-pay", "/pay/", "unsafe", "ledger", 3000, 300, 2, 1, false),
			route("r-lot", "/lot/", "safe", "ledger", 3000, 300, 2, 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 485157, "kv_token_bytes": 18432, "link_mbps": 88000.0, "stride": 3, "handle_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": maxHeader, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// StartRunners starts the runners of both services.
func (r *Rig) StartRunners(streams func(*Runner, *RunnerRequest)) error {
	zones := []string{"alm-north", "alm-south", "alm-east", "alm-west"}
	for i := range 9 {
		rn, err := NewRunner(r.Store, r.Record, r.IP, "llm", zones[i%4], fmt.Sprintf("i-llm%02d", i), 64)
		if err != nil {
			return err
		}
		rn.Handle = streams
	}
	for i := range 4 {
		rn, err := NewRunner(r.Store, r.Record, r.IP, "ledger", zones[i], fmt.Sprintf("i-led%02d", i), 6)
		if err != nil {
			return err
		}
		rn.Handle = servePlain
	}
	return nil
}
