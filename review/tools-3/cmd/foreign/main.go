// Command foreign plays a runner that drains, and an entry under its id that comes from another writer and lacks fields.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chivewind.example/review-3/kit"
)

const (
	host      = "ficu95.example"
	heartbeat = 1200 * time.Millisecond
	// drain is the bound drain_ms; the runner exits served after it has reported that it drains.
	drain  = 2 * time.Second
	served = 4 * time.Second
	// foreignAt is the time of the foreign entry after the confirmation of the draining state.
	foreignAt = 3 * time.Second
	// events is the number of events of a stream, and pause the time between two.
	events = 40
	pause  = 50 * time.Millisecond
	// perMachine is the number of clients at each machine, each with one stream at a time.
	perMachine = 12
)

var zones = []string{"sapporo", "asahikawa", "hakodate"}

func main() { kit.Main(run) }

func table() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-care", "hostname": host, "prefix": "/care/", "route_kind": "streaming", "timeout_ms": 12000, "slo_ms": 2000, "priority": 2, "service": "chive-judges",
			"max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 1000,
		}},
		"services": []map[string]any{{
			"name": "chive-judges", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 635897, "kv_token_bytes": 18432, "link_mbps": 88000.0, "stride": 3},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{"key-of-hule930"}}},
	}
}

// stream answers with an event stream.
func stream(r *kit.Runner, leaving *atomic.Bool) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, q *http.Request, _ []byte) {
		if leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		w.Header().Set("Server-Stamp", r.ID+"."+q.Header.Get("Attempt-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range events {
			time.Sleep(pause)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n+1, n+1, r.ID); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func run(c *kit.Case) (int, error) {
	c.Region, c.MemoryMB, c.Share = "hokkaido", 284, 0.4
	c.Bounds = map[string]any{"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 52, "budget_window_s": 10}
	c.Configure(table())
	for _, zone := range zones {
		c.Add(zone)
	}
	if err := c.AddRunners("chive-judges", 6, zones, heartbeat, 0); err != nil {
		return kit.Unknown, err
	}
	var leaving, staying atomic.Bool
	for i, r := range c.Runners {
		r.Slots, r.Handle = 64, stream(r, &staying)
		if i == 0 {
			r.Handle = stream(r, &leaving)
		}
	}
	if err := c.StartAll(15 * time.Second); err != nil {
		return kit.Unknown, err
	}
	time.Sleep(5 * time.Second)
	var ended atomic.Bool
	var users sync.WaitGroup
	var lost atomic.Int64
	for _, p := range c.Daemons {
		for range perMachine {
			users.Go(func() { user(c, p, &ended, &lost) })
		}
	}
	time.Sleep(5 * time.Second)
	r := c.Runners[0]
	leaving.Store(true)
	r.SetState("draining")
	confirmed := time.Now()
	c.Record.Say(r.ID, "drains")
	time.Sleep(foreignAt)
	if c.Trouble {
		revision := c.KV.Put("servers/"+r.ID, map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "slots": r.Slots, "state": "ready"})
		c.Record.Say("writer", "another writer writes servers/%s without version, cold_left_ms, seq and born, at revision %d", r.ID, revision)
	}
	time.Sleep(time.Until(confirmed.Add(served)))
	r.Kill()
	c.KV.Delete("servers/" + r.ID)
	c.Record.Say(r.ID, "exits %s after the confirmation", served)
	time.Sleep(3 * time.Second)
	ended.Store(true)
	users.Wait()
	late, newest := 0, time.Duration(0)
	for _, x := range c.Runs.At(r) {
		if after := x.At.Sub(confirmed); after > drain {
			late++
			newest = max(newest, after)
		}
	}
	c.Record.Say("script", "streams that reached the runner later than drain_ms after the confirmation: %d, the last one after %.2f s; streams of this runner that ended without their end: %d", late, newest.Seconds(), lost.Load())
	if late > 0 {
		c.Record.Say("script", "DRAIN is broken")
		return kit.Broken, nil
	}
	c.Record.Say("script", "DRAIN held")
	return kit.Held, nil
}

// prompts counts the prompts, no two of which have a part in common.
var prompts atomic.Int64

// user asks for one stream after the other.
func user(c *kit.Case, p *kit.Daemon, ended *atomic.Bool, lost *atomic.Int64) {
	client := kit.NewClient(p, c.Record)
	for !ended.Load() {
		a := client.Do(kit.Request{
			Method: "POST", Path: "/care/1", Host: host, Key: "key-of-hule930", Body: []byte("prompt"), Deadline: 12 * time.Second,
			Header: map[string]string{"Model": "m", "Token-Usage": "3720,120", "Prefix-Hash": fmt.Sprintf("%08x:3720", prompts.Add(1))},
		})
		if a.Err != nil && len(c.Runs.Of(a.Attempt)) > 0 {
			lost.Add(1)
			c.Record.Say("client", "%s at %s: %d bytes of its stream, then %v", a.Attempt, p.Name, len(a.Body), a.Err)
		}
	}
}
