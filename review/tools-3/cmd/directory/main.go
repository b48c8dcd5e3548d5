// Command directory plays many clients that ask the directory with a chunked body which stops just short of its end and stay
// that open new connections.
package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chivewind.example/review-3/kit"
)

const (
	host      = "sopi31.example"
	heartbeat = 1200 * time.Millisecond
	// memoryMB and maxFiles are the size of a machine.
	memoryMB, maxFiles = 134, 4100
	// crowd is the number of clients of the crowd, from four addresses.
	crowd     = 4200
	addresses = 4
	timeoutMs = 12000
	// comesAgain is the pause of a client of the crowd after its connection has ended.
	comesAgain = time.Second
	// contact is the bound contact_ms.
	contact = 3 * time.Second
	// ordinary is the number of ordinary clients, and needed how many of them must have tried for the rule.
	ordinary, needed = 10, 7
	measured         = 40 * time.Second
)

func route(name, prefix, kind string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "route_kind": kind, "timeout_ms": timeout, "slo_ms": 300, "priority": 2, "service": "import-ledger",
		"max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

func main() { kit.Main(run) }

// try is an attempt of an ordinary client to get an answer on a new connection.
type try struct {
	client   int
	at, done time.Time
	status   int
}

func run(c *kit.Case) (int, error) {
	if err := kit.NeedFiles(maxFiles + 500); err != nil {
		return kit.Unknown, err
	}
	c.Region, c.MemoryMB, c.Share, c.MaxFiles = "almaty", memoryMB, 0.4, maxFiles
	c.Bounds = map[string]any{"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 56, "budget_window_s": 10}
	c.Configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("r-pay", "/pay/", "unsafe", 3000), route("r-dossier", "/dossier/", "unsafe", timeoutMs)},
		"services": []map[string]any{{"name": "import-ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{"key-of-hule930"}}, {"name": "fida11", "api_keys": []string{"key-of-fida11"}}},
	})
	p := c.Add("alm-north")
	if err := c.AddRunners("import-ledger", 4, []string{"alm-north"}, heartbeat, 30*time.Millisecond); err != nil {
		return kit.Unknown, err
	}
	if err := c.StartAll(15 * time.Second); err != nil {
		return kit.Unknown, err
	}
	time.Sleep(4 * time.Second)
	var ended atomic.Bool
	var opened, open atomic.Int64
	if c.Trouble {
		for i := range crowd {
			go member(c, p, i, &ended, &opened, &open)
		}
		time.Sleep(2 * time.Second)
		c.Record.Say("script", "%d clients have opened %d connections to %s and sent chunked bodies that are short of their end", crowd, opened.Load(), p.Name)
	}
	var mu sync.Mutex
	var tries []try
	var all sync.WaitGroup
	start := time.Now()
	for i := range ordinary {
		all.Go(func() {
			for time.Since(start) < measured {
				t := attempt(c, p, i)
				mu.Lock()
				tries = append(tries, t)
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	notReady, asked := 0, 0
	peak := int64(0)
	for time.Since(start) < measured {
		asked++
		if !p.IsReady() {
			notReady++
		}
		peak = max(peak, p.Memory().Total())
		time.Sleep(500 * time.Millisecond)
	}
	all.Wait()
	ended.Store(true)
	c.Record.Say("script", "%s: ready at %d of %d questions, exited: %v, memory at most %.1f MB; the crowd has opened %d connections", p.Name, asked-notReady, asked, p.Exited(), float64(peak)/(1<<20), opened.Load())
	return judge(c, tries, start, notReady), nil
}

// judge looks for a span of contact in which enough ordinary clients tried and none got an answer.
func judge(c *kit.Case, tries []try, start time.Time, notReady int) int {
	answered := 0
	var times []time.Time
	for _, t := range tries {
		if t.status != 0 {
			answered++
			times = append(times, t.done)
		}
	}
	longest, from, clients := time.Duration(0), start, 0
	for at := start; at.Before(start.Add(measured)); at = at.Add(50 * time.Millisecond) {
		next := start.Add(measured)
		for _, done := range times {
			if !done.Before(at) && done.Before(next) {
				next = done
			}
		}
		seen := map[int]bool{}
		for _, t := range tries {
			if !t.at.Before(at) && t.at.Before(next) {
				seen[t.client] = true
			}
		}
		if span := next.Sub(at); span > longest && len(seen) >= needed {
			longest, from, clients = span, at, len(seen)
		}
	}
	c.Record.Say("script", "ordinary clients: %d tries on new connections, %d answered", len(tries), answered)
	c.Record.Say("script", "longest span without an answer: %.1f s from %.1f on, in which %d clients tried", longest.Seconds(), c.Record.Since(from), clients)
	if longest >= contact && notReady == 0 {
		c.Record.Say("script", "RECOVER: a machine that says it is ready has taken no new channel for over %s", contact)
		return kit.Broken
	}
	c.Record.Say("script", "RECOVER held")
	return kit.Held
}

// attempt sends one request on a new connection and waits for the answer.
func attempt(c *kit.Case, p *kit.Daemon, client int) try {
	t := try{client: client, at: time.Now()}
	a := kit.NewClient(p, c.Record).DoOnce(kit.Request{Method: "POST", Path: "/pay/1", Host: host, Key: "key-of-fida11", Body: []byte("payment"), Deadline: 3 * time.Second})
	t.done, t.status = time.Now(), a.Status
	return t
}

// member is one client of the crowd. It asks where to connect; its body comes in very small chunks and stops before the last one.
// When its connection ends it comes again.
func member(c *kit.Case, p *kit.Daemon, i int, ended *atomic.Bool, opened, open *atomic.Int64) {
	from := fmt.Sprintf("%s%d", c.Base, 30+i%addresses)
	for !ended.Load() {
		conn, err := kit.DialFrom(from, p.Directory)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		opened.Add(1)
		open.Add(1)
		_, err = fmt.Fprintf(conn, "GET /chivewind/resolve?name=%s&region=%s&zone=%s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s",
			host, c.Region, p.Zone, host, strings.Repeat("1\r\nx\r\n", 200))
		if err == nil {
			// It ends when the machine closes it.
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
		open.Add(-1)
		time.Sleep(comesAgain)
	}
}
