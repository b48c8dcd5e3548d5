// Command config plays a drill of the platform's store, with a change of the configuration shortly before and another one
// shortly after it, and checks which of them is in force later.
package main

import (
	"sync"
	"syscall"
	"time"

	"chivewind.example/review-3/kit"
)

const (
	host      = "ficu95.example"
	away      = time.Second
	copyAge   = 5 * time.Second
	heartbeat = 1200 * time.Millisecond
	// contact and apply are the bounds contact_ms and config_apply_ms.
	contact, apply = 3 * time.Second, 2 * time.Second
)

var zones = []string{"sapporo", "asahikawa", "hakodate"}

func route(name, prefix, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "route_kind": "unsafe", "timeout_ms": timeoutMs, "slo_ms": 300, "priority": 2, "service": service,
		"max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

// table returns a configuration. keys are those of the first tenant, and more those that the second one has besides its own.
func table(version int, routes []map[string]any, keys []string, more ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "bench-desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			{"name": "bench-desk-b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": keys}, {"name": "fida11", "api_keys": append([]string{"key-of-fida11"}, more...)}},
	}
}

func main() { kit.Main(run) }

func run(c *kit.Case) (int, error) {
	c.Region, c.MemoryMB, c.Share = "hokkaido", 284, 0.4
	c.Bounds = map[string]any{"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 52, "budget_window_s": 10}
	c.Configure(table(1, []map[string]any{route("r-book", "/book/", "bench-desk", 800), route("r-old", "/old/", "bench-desk", 800)}, []string{"key-kept", "key-revoked", "key-moved"}))
	for _, zone := range zones {
		c.Add(zone)
	}
	for _, service := range []string{"bench-desk", "bench-desk-b"} {
		if err := c.AddRunners(service, 6, zones, heartbeat, 20*time.Millisecond); err != nil {
			return kit.Unknown, err
		}
	}
	if err := c.StartAll(15 * time.Second); err != nil {
		return kit.Unknown, err
	}
	time.Sleep(6 * time.Second)
	check(c, "version 1", 1)
	c.Configure(table(2, []map[string]any{route("r-book", "/book/", "bench-desk", 900), route("r-old", "/old/", "bench-desk", 900)}, []string{"key-kept", "key-revoked", "key-moved"}))
	time.Sleep(500 * time.Millisecond)
	back := time.Now()
	if c.Trouble {
		c.Drill(away, copyAge)
		back = time.Now()
	}
	time.Sleep(time.Second)
	c.Configure(table(3, []map[string]any{route("r-book", "/book/", "bench-desk-b", 900), route("r-new", "/new/", "bench-desk-b", 900)}, []string{"key-kept"}, "key-moved"))
	confirmed := time.Now()
	if c.Trouble {
		c.Record.Say("store", "calls in the second since its return: %d listings, %d watches", c.KV.Calls("/chivewind/kv-range"), c.KV.Calls("/chivewind/kv-watch"))
	}
	from := confirmed.Add(apply)
	if inTouch := back.Add(contact); inTouch.After(from) {
		from = inTouch
	}
	from = from.Add(time.Second)
	time.Sleep(time.Until(from))
	c.Record.Say("script", "%.1f s after the confirmation of version 3 and %.1f s after the return of the store: requests are judged", time.Since(confirmed).Seconds(), time.Since(back).Seconds())
	stale := 0
	for range 15 {
		stale += check(c, "version 3", 3)
		time.Sleep(time.Second)
	}
	judged := time.Since(confirmed)
	if stale > 0 {
		if err := restart(c); err != nil {
			return kit.Unknown, err
		}
		c.Record.Say("script", "CONFIG is broken: %d requests were handled as only an older version allows, the last ones %.1f s after the confirmation of version 3", stale, judged.Seconds())
		return kit.Broken, nil
	}
	c.Record.Say("script", "CONFIG held")
	return kit.Held, nil
}

// restart stops and starts the first machine, as an operator would who wants to help, and shows what it does then. It is no part
// of the verdict.
func restart(c *kit.Case) error {
	p := c.Daemons[0]
	p.Signal(syscall.SIGTERM)
	p.Wait()
	if err := c.Start(p); err != nil {
		return err
	}
	if err := p.WaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	c.Record.Say("script", "%s has been restarted", p.Name)
	check(c, "version 3 after the restart of one machine", 3)
	return nil
}

// check sends one request of each kind to each machine and returns how many were handled as only an older version allows.
func check(c *kit.Case, name string, version int) int {
	var mu sync.Mutex
	stale, right := map[string]int{}, 0
	var all sync.WaitGroup
	for _, p := range c.Daemons {
		all.Go(func() {
			client := kit.NewClient(p, c.Record)
			note := func(what string, old bool) {
				mu.Lock()
				defer mu.Unlock()
				if old {
					stale[what]++
					c.Record.Add("script", "STALE: %s", what)
				} else {
					right++
				}
			}
			ask := func(path, key string) (a kit.Answer, service, tenant string) {
				a = client.Do(kit.Request{Method: "POST", Path: path, Host: host, Key: key, Body: []byte("booking")})
				for _, r := range c.Runs.Of(a.Attempt) {
					service, tenant = r.Runner.Service, r.Tenant
				}
				return a, service, tenant
			}
			if version < 3 {
				a, ran, _ := ask("/book/1", "key-kept")
				note("a request of the moved route isn't served", a.Status != 200 || ran != "bench-desk")
				return
			}
			_, ran, _ := ask("/book/1", "key-kept")
			note("a request of the moved route is run by its old service", ran == "bench-desk")
			_, ran, _ = ask("/book/1", "key-revoked")
			note("a request with a removed key is run", ran != "")
			_, ran, _ = ask("/old/1", "key-kept")
			note("a request of a dropped route is run", ran != "")
			a, _, _ := ask("/new/1", "key-kept")
			note("a request of an added route gets 404", a.Status == 404)
			_, _, tenant := ask("/book/1", "key-moved")
			note("a request is run for the tenant that no longer has its key", tenant == "hule930")
		})
	}
	all.Wait()
	total := 0
	for _, n := range stale {
		total += n
	}
	c.Record.Say("script", "%s: %d requests as it says, stale: %v", name, right, stale)
	return total
}
