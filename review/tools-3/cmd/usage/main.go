// Command usage plays a drill of the platform's store after the first reports of usage and the planned restart of a machine, and
// checks whether a window is reported with different counts.
package main

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chivewind.example/review-3/kit"
)

const (
	host      = "ficu95.example"
	away      = time.Second
	heartbeat = 1200 * time.Millisecond
	window    = 5 * time.Second
	// contact is the bound contact_ms.
	contact = 4 * time.Second
	calm    = time.Second
	// watched is how long the calls are watched after the return of the store.
	watched = 25 * time.Second
	// drillAfter is the time of the drill after the machines are ready.
	drillAfter = 7200 * time.Millisecond
	// copiedAt is the time of the copy after the machines were ready.
	copiedAt = 3 * time.Second
)

var zones = []string{"nam-central-a", "nam-central-b", "nam-central-c"}

func table(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-book", "hostname": host, "prefix": "/book/", "route_kind": "unsafe", "timeout_ms": 2000, "slo_ms": 300, "priority": 2,
			"service": "kdp-ledger-api", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "kdp-ledger-api", "health_path": "/healthz", "max_conns": 590, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{"key-of-hule930"}}, {"name": "fida11", "api_keys": []string{"key-of-fida11"}}},
	}
}

func main() { kit.Main(run) }

func run(c *kit.Case) (int, error) {
	c.Region, c.MemoryMB, c.Share = "nam-central", 536, 0.8
	c.Bounds = map[string]any{
		"drain_ms": 3000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 216, "budget_window_s": 10, "lease_ms": 3000, "window_s": 5, "usage_late_s": 10,
	}
	if err := c.StartCloud(); err != nil {
		return kit.Unknown, err
	}
	c.Configure(table(1))
	for _, zone := range zones {
		c.Add(zone)
	}
	if err := c.AddRunners("kdp-ledger-api", 18, zones, heartbeat, 15*time.Millisecond); err != nil {
		return kit.Unknown, err
	}
	// The machines start shortly before the end of a window, so that the first report comes soon after the first holder.
	time.Sleep(time.Until(time.Now().Truncate(window).Add(2*window - 300*time.Millisecond)))
	if err := c.StartAll(15 * time.Second); err != nil {
		return kit.Unknown, err
	}
	ready := time.Now()
	stop := load(c)
	defer stop()
	if err := restart(c, c.Daemons[1]); err != nil {
		return kit.Unknown, err
	}
	first, ok := firstCall(c, time.Now().Add(30*time.Second))
	if !ok {
		return kit.Unknown, fmt.Errorf("no report of usage came")
	}
	c.Record.Say("script", "the first call of a duty came %.1f s after the machines were ready", first.At.Sub(ready).Seconds())
	time.Sleep(time.Until(ready.Add(drillAfter)))
	back := time.Now()
	if c.Trouble {
		// The copy is older than the take-over of the duties and the first reports.
		c.Drill(away, drillAfter-copiedAt+away)
		back = time.Now()
	}
	time.Sleep(time.Until(back.Add(watched)))
	stop()
	return judge(c, back), nil
}

// load sends requests until it is stopped.
func load(c *kit.Case) (stop func()) {
	var ended atomic.Bool
	var all sync.WaitGroup
	for _, p := range c.Daemons {
		all.Go(func() {
			client := kit.NewClient(p, c.Record)
			for n := 0; !ended.Load(); n++ {
				key := []string{"key-of-hule930", "key-of-fida11"}[n%2]
				client.Do(kit.Request{Method: "POST", Path: "/book/1", Host: host, Key: key, Body: []byte("instalment"), Deadline: 2 * time.Second})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return func() {
		ended.Store(true)
		all.Wait()
	}
}

func firstCall(c *kit.Case, until time.Time) (kit.Call, bool) {
	for ; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if calls := c.Plane.Calls(); len(calls) > 0 {
			return calls[0], true
		}
	}
	return kit.Call{}, false
}

// restart stops a machine as planned and starts it again.
func restart(c *kit.Case, p *kit.Daemon) error {
	p.Signal(syscall.SIGTERM)
	p.Wait()
	if err := c.Start(p); err != nil {
		return err
	}
	c.Record.Say("script", "%s has been stopped and started again", p.Name)
	return p.WaitReady(10 * time.Second)
}

// judge applies rule ONE to the reports. The rule excuses no report that differs from an earlier one; here those count that come later
// than calm after the return of the store.
func judge(c *kit.Case, back time.Time) int {
	broken, late := 0, 0
	windows := map[int64]kit.Call{}
	for _, call := range c.Plane.Calls() {
		first, known := windows[call.Window]
		if !known {
			windows[call.Window] = call
			continue
		}
		if maps.Equal(first.Counts, call.Counts) {
			continue
		}
		c.Record.Say("script", "window %d: %v by %s at %.3f, and %v by %s at %.3f", call.Window, first.Counts, first.Holder, c.Record.Since(first.At), call.Counts, call.Holder, c.Record.Since(call.At))
		if call.At.After(back.Add(calm)) {
			broken++
		}
		if call.At.After(back.Add(contact)) {
			late++
		}
	}
	if broken > 0 {
		c.Record.Say("script", "ONE is broken by %d reports, %d of them later than contact_ms after the return of the store", broken, late)
		return kit.Broken
	}
	c.Record.Say("script", "ONE held, %d windows", len(windows))
	return kit.Held
}
