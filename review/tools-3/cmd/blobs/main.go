// Command blobs plays entries of another writer whose bytes can't be read, and a configuration that grows by many routes and
// drops a key and a route, and checks which configuration the machines go by.
package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"chivewind.example/review-3/kit"
)

const (
	host      = "ficu95.example"
	heartbeat = 1200 * time.Millisecond
	// apply is the bound config_apply_ms, and valueBytes the largest value that the store takes.
	apply      = 2 * time.Second
	valueBytes = 1048576
	// entries is the number of entries that the other writer writes one after the other, and gap the time between two.
	entries = 12
	gap     = 2 * time.Millisecond
	// added is the number of routes by which the configuration grows.
	added  = 350
	judged = 12
)

var zones = []string{"sapporo", "asahikawa", "hakodate"}

func main() { kit.Main(run) }

func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "route_kind": "unsafe", "timeout_ms": 800, "slo_ms": 300, "priority": 2, "service": service,
		"max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

func table(version int, routes []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "bench-desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			{"name": "bench-desk-b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": keys}},
	}
}

func run(c *kit.Case) (int, error) {
	c.Region, c.MemoryMB, c.Share = "hokkaido", 284, 0.4
	c.Bounds = map[string]any{"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 52, "budget_window_s": 10}
	c.Configure(table(1, []map[string]any{route("r-book", "/book/", "bench-desk"), route("r-old", "/old/", "bench-desk")}, "key-kept", "key-revoked"))
	for i := range 6 {
		c.Add(zones[i%len(zones)])
	}
	for _, service := range []string{"bench-desk", "bench-desk-b"} {
		if err := c.AddRunners(service, 3, zones, heartbeat, 20*time.Millisecond); err != nil {
			return kit.Unknown, err
		}
	}
	if err := c.StartAll(15 * time.Second); err != nil {
		return kit.Unknown, err
	}
	time.Sleep(6 * time.Second)
	check(c, "version 1", 1)
	if c.Trouble {
		for i := range entries {
			raw := make([]byte, valueBytes)
			_, _ = rand.Read(raw)
			c.KV.Put(fmt.Sprintf("servers/i-other%02d", i), raw)
			time.Sleep(gap)
		}
		c.Record.Say("writer", "another writer has written %d entries of %d bytes that can't be read", entries, valueBytes)
	}
	time.Sleep(4 * time.Second)
	routes := []map[string]any{route("r-book", "/book/", "bench-desk-b")}
	for range added {
		name := make([]byte, 16)
		_, _ = rand.Read(name)
		routes = append(routes, route(fmt.Sprintf("r-%x", name[:8]), fmt.Sprintf("/%x/", name[8:]), "bench-desk"))
	}
	c.Configure(table(2, routes, "key-kept"))
	confirmed := time.Now()
	time.Sleep(apply + time.Second)
	stale := 0
	for range judged {
		stale += check(c, "version 2", 2)
		time.Sleep(time.Second)
	}
	for _, p := range c.Daemons {
		c.Record.Say("script", "%s: ready %v, exited %v, memory %d bytes", p.Name, p.IsReady(), p.Exited(), p.Memory().Total())
	}
	if stale > 0 {
		c.Record.Say("script", "CONFIG is broken: %d requests were handled as only an older version allows, the last ones %.1f s after the confirmation of version 2", stale, time.Since(confirmed).Seconds())
		return kit.Broken, nil
	}
	c.Record.Say("script", "CONFIG held")
	return kit.Held, nil
}

// check sends one request of each kind to each machine and returns how many were handled as only an older version allows.
func check(c *kit.Case, name string, version int) int {
	var mu sync.Mutex
	stale, machines, right := map[string]int{}, map[string]bool{}, 0
	var all sync.WaitGroup
	for _, p := range c.Daemons {
		all.Go(func() {
			client := kit.NewClient(p, c.Record)
			ask := func(path, key string) (service string) {
				a := client.Do(kit.Request{Method: "POST", Path: path, Host: host, Key: key, Body: []byte("booking")})
				for _, r := range c.Runs.Of(a.Attempt) {
					service = r.Runner.Service
				}
				return service
			}
			note := func(what string, old bool) {
				mu.Lock()
				defer mu.Unlock()
				if old {
					stale[what]++
					machines[p.Name] = true
					c.Record.Add("script", "STALE at %s: %s", p.Name, what)
				} else {
					right++
				}
			}
			if version < 2 {
				note("a request isn't served", ask("/book/1", "key-kept") != "bench-desk")
				return
			}
			note("a request of the moved route is run by its old service", ask("/book/1", "key-kept") == "bench-desk")
			note("a request with a removed key is run", ask("/book/1", "key-revoked") != "")
			note("a request of a dropped route is run", ask("/old/1", "key-kept") != "")
		})
	}
	all.Wait()
	total := 0
	for _, n := range stale {
		total += n
	}
	c.Record.Say("script", "%s: %d requests as it says; stale: %v at %d of %d machines", name, right, stale, len(machines), len(c.Daemons))
	return total
}
