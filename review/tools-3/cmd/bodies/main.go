// Command bodies plays many clients that send large bodies of legal size at once, and a platform that kills a process which
// exceeds the memory of its machine.
package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chivewind.example/review-3/kit"
)

const (
	host      = "ficu95.example"
	heartbeat = 1200 * time.Millisecond
	// memoryMB and maxFiles are the size of a machine. A MB counts as 1,048,576 bytes here, which favours the process.
	memoryMB, maxFiles = 284, 4100
	bodyBytes          = 4194304
	// shortBy is what a body of the crowd lacks to be complete.
	shortBy = 5
	// crowd is the number of clients of the crowd at each of two machines, from four addresses.
	crowd      = 1500
	addresses  = 4
	crowdTime  = 60 * time.Second
	restartGap = time.Second
	timeoutMs  = 12000
	// enough is the number of ends of a process from which on they count for the rule.
	enough = 3
)

var zones = []string{"sapporo", "asahikawa", "hakodate"}

func route(name, prefix, kind string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "route_kind": kind, "timeout_ms": timeout, "slo_ms": 300, "priority": 2, "service": "bench-desk",
		"max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

func main() { kit.Main(run) }

func run(c *kit.Case) (int, error) {
	if err := kit.NeedFiles(2*crowd + 500); err != nil {
		return kit.Unknown, err
	}
	c.Region, c.MemoryMB, c.Share, c.MaxFiles = "hokkaido", memoryMB, 0.4, maxFiles
	c.Bounds = map[string]any{"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 52, "budget_window_s": 10}
	c.Configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("r-book", "/book/", "unsafe", 800), route("r-care", "/care/", "unsafe", timeoutMs)},
		"services": []map[string]any{{"name": "bench-desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{"key-of-hule930"}}, {"name": "fida11", "api_keys": []string{"key-of-fida11"}}},
	})
	for _, zone := range zones {
		c.Add(zone)
	}
	if err := c.AddRunners("bench-desk", 3, zones, heartbeat, 30*time.Millisecond); err != nil {
		return kit.Unknown, err
	}
	if err := c.StartAll(15 * time.Second); err != nil {
		return kit.Unknown, err
	}
	time.Sleep(4 * time.Second)
	var ended atomic.Bool
	var users sync.WaitGroup
	var lost atomic.Int64
	for _, p := range c.Daemons {
		users.Go(func() { user(c, p, &ended, &lost) })
	}
	time.Sleep(2 * time.Second)
	if c.Trouble {
		var connected atomic.Int64
		for _, p := range c.Daemons[:2] {
			for i := range crowd {
				go member(c, p, i, &ended, &connected)
			}
		}
		c.Record.Say("script", "%d clients at %s and as many at %s send bodies of %d bytes", crowd, c.Daemons[0].Name, c.Daemons[1].Name, bodyBytes)
		defer func() { c.Record.Add("script", "the crowd has opened %d connections", connected.Load()) }()
	}
	kills, peaks, err := watch(c)
	ended.Store(true)
	users.Wait()
	if err != nil {
		return kit.Unknown, err
	}
	machines := 0
	for _, p := range c.Daemons {
		c.Record.Say("script", "%s: peak %d bytes of its own and %d received and not read, limit %d; killed %d times", p.Name, peaks[p].Anonymous, peaks[p].Unread, int64(memoryMB)<<20, kills[p])
		if kills[p] >= enough {
			machines++
		}
	}
	c.Record.Say("script", "requests of ordinary clients whose channel ended without an answer: %d", lost.Load())
	if machines >= 2 {
		c.Record.Say("script", "Fault: on %d of %d machines the process has ended %d times or more for its memory", machines, len(c.Daemons), enough)
		return kit.Broken, nil
	}
	c.Record.Say("script", "the processes stayed within the memory of their machines")
	return kit.Held, nil
}

// watch plays the platform for crowdTime: it kills a process that exceeds the memory of its machine and starts it again.
func watch(c *kit.Case) (map[*kit.Daemon]int, map[*kit.Daemon]kit.Memory, error) {
	kills, peaks := map[*kit.Daemon]int{}, map[*kit.Daemon]kit.Memory{}
	restartAt := map[*kit.Daemon]time.Time{}
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		done := 0
		for _, p := range c.Daemons {
			if kills[p] >= enough {
				done++
			}
			if p.Exited() {
				switch at, waiting := restartAt[p]; {
				case !waiting:
					return nil, nil, fmt.Errorf("%s has ended by itself", p.Name)
				case time.Now().After(at):
					delete(restartAt, p)
					if err := c.Start(p); err != nil {
						return nil, nil, err
					}
				}
				continue
			}
			m := p.Memory()
			if m.Total() > peaks[p].Total() {
				peaks[p] = m
			}
			if m.Total() > int64(memoryMB)<<20 {
				kills[p]++
				c.Record.Say("platform", "%s holds %d bytes of its own and %d received and not read, together %.1f MB of %d: killed", p.Name, m.Anonymous, m.Unread, float64(m.Total())/(1<<20), memoryMB)
				p.Signal(syscall.SIGKILL)
				p.Wait()
				restartAt[p] = time.Now().Add(restartGap)
			}
		}
		if done >= 2 {
			break
		}
	}
	return kills, peaks, nil
}

// member is one client of the crowd. It sends a body that stops just short of its end, stays for a while, and comes again.
func member(c *kit.Case, p *kit.Daemon, i int, ended *atomic.Bool, connected *atomic.Int64) {
	body := crowdBody[shortBy:]
	from := fmt.Sprintf("%s%d", c.Base, 30+i%addresses)
	for n := 0; !ended.Load(); n++ {
		conn, err := kit.DialFrom(from, p.Front)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		connected.Add(1)
		closed := make(chan struct{})
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			close(closed)
		}()
		head := "POST /care/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: c%07d%08d\r\nDeadline-Ms: %d\r\nAuthorization: Token key-of-hule930\r\nContent-Length: %d\r\n\r\n"
		if _, err = fmt.Fprintf(conn, head, i, host, i, n, timeoutMs, bodyBytes); err == nil {
			_, err = conn.Write(body)
		}
		if err == nil {
			select {
			case <-closed:
			case <-time.After(timeoutMs * time.Millisecond):
			}
		}
		_ = conn.Close()
	}
}

var crowdBody = make([]byte, bodyBytes)

// user sends ordinary requests, one after the other, on a kept connection.
func user(c *kit.Case, p *kit.Daemon, ended *atomic.Bool, lost *atomic.Int64) {
	client := kit.NewClient(p, c.Record)
	for !ended.Load() {
		a := client.Do(kit.Request{Method: "POST", Path: "/book/1", Host: host, Key: "key-of-fida11", Body: []byte("booking")})
		if a.Err != nil && len(c.Runs.Of(a.Attempt)) > 0 {
			lost.Add(1)
			c.Record.Add("script", "%s was run and got no answer", a.Attempt)
		}
		time.Sleep(30 * time.Millisecond)
	}
}
