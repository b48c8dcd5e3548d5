package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// residentMB returns the memory that a process has in use, without that of its program file, in MB.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// enforceMemory does what the platform does: it kills the process of a daemon that exceeds memory_mb.
func (p *play) enforceMemory(x *daemon, done <-chan struct{}) {
	most := 0
	for {
		select {
		case <-done:
			p.rec.say("the most memory of %s was %d MB of %d MB", x.id, most, p.fleet.memoryMB)
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := residentMB(x.cmd.Process.Pid)
		if used > most {
			most = used
		}
		if used > p.fleet.memoryMB {
			p.rec.say("the platform kills %s: %d MB in use, %d MB allowed", x.id, used, p.fleet.memoryMB)
			_ = x.cmd.Process.Kill()
			<-done
			return
		}
	}
}

// largeBodies lets callers send bodies of the largest allowed size to one daemon, each on a kept channel, one after the
// other. The disruption is a burst: 2.2 times as many callers.
func largeBodies(p *play) (int, error) {
	const (
		usualCallers  = 16
		burst         = 2.2
		bodyBytes     = 4194304
		timeout       = 6 * time.Second
		work          = 3 * time.Second
		stagger       = 50 * time.Millisecond
		rounds        = 3
		allowedLosses = 3
	)
	var err error
	if p.store, err = newStore(); err != nil {
		return unplayed, err
	}
	p.fleet.memoryMB = 134
	var runners []*runner
	for i := range 2 {
		r, err := newRunner(p.rec, p.runs, fmt.Sprintf("i-%d", i+1), "desk", work)
		if err != nil {
			return unplayed, err
		}
		runners = append(runners, r)
	}
	if err := p.begin(newConfig(int(timeout.Milliseconds())), runners, 2, nil); err != nil {
		return unplayed, err
	}
	time.Sleep(4 * time.Second)
	x := p.fleet.daemons[0]
	callers := usualCallers
	if p.trouble {
		load := burst * float64(usualCallers)
		callers = int(load)
	}
	p.rec.say("%d callers send bodies of %d bytes to %s", callers, bodyBytes, x.id)
	done := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		p.enforceMemory(x, done)
	}()
	body := make([]byte, bodyBytes)
	var answered, lost atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * stagger)
			c := newChannel(p.rec, x.front)
			defer c.close()
			if o := c.do("GET", "/look/1", callerKey, nil, timeout); !o.whole {
				return
			}
			for range rounds {
				o := c.do("POST", "/book/large", callerKey, body, timeout)
				if !o.whole {
					if len(p.runs.find(o.id)) > 0 {
						lost.Add(1)
					}
					return
				}
				answered.Add(1)
			}
		}()
	}
	wg.Wait()
	close(done)
	<-watched
	p.rec.say("%d requests were answered; %d were passed on from a kept channel, and the channel was closed without an answer", answered.Load(), lost.Load())
	if lost.Load() > allowedLosses {
		return broken, nil
	}
	return held, nil
}
