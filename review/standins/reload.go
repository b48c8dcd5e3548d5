package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// reloadDuringStop sends SIGTERM to one of three daemons while it works on requests from kept channels, and half a second
// later SIGHUP, because its settings file has changed.
func reloadDuringStop(p *play) (int, error) {
	const (
		callers = 12
		work    = 1500 * time.Millisecond
	)
	var err error
	if p.store, err = newStore(); err != nil {
		return unplayed, err
	}
	var runners []*runner
	for i := range 2 {
		r, err := newRunner(p.rec, p.runs, fmt.Sprintf("i-%d", i+1), "desk", work)
		if err != nil {
			return unplayed, err
		}
		runners = append(runners, r)
	}
	if err := p.begin(newConfig(6000), runners, 3, nil); err != nil {
		return unplayed, err
	}
	// Planned work needs calm before it: contact_ms is 3 s.
	time.Sleep(4 * time.Second)
	x := p.fleet.daemons[0]
	results := make(chan outcome, 4*callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newChannel(p.rec, x.front)
			results <- c.do("GET", "/look/warm", callerKey, nil, 6*time.Second)
			method, path, body := "GET", "/look/1", []byte(nil)
			if i%2 == 0 {
				method, path, body = "POST", "/book/1", []byte(`{"bench":7}`)
			}
			results <- c.do(method, path, callerKey, body, 6*time.Second)
		}()
	}
	time.Sleep(work + 300*time.Millisecond)
	p.rec.say("SIGTERM to %s", x.id)
	if err := x.signal(syscall.SIGTERM); err != nil {
		return unplayed, err
	}
	if p.trouble {
		time.Sleep(500 * time.Millisecond)
		p.rec.say("SIGHUP to %s", x.id)
		if err := x.signal(syscall.SIGHUP); err != nil {
			return unplayed, err
		}
	}
	wg.Wait()
	close(results)
	lost, answered := 0, 0
	for o := range results {
		switch {
		case o.whole && o.status != 0:
			answered++
		case len(p.runs.find(o.id)) > 0:
			lost++
			p.rec.say("%s ran on a runner, and its channel ended without a complete answer: %v", o.id, o.err)
		default:
			p.rec.say("%s failed before it reached a runner: %v", o.id, o.err)
		}
	}
	p.rec.say("%d requests were answered, %d were passed on and not answered", answered, lost)
	if lost > 0 {
		return broken, nil
	}
	if answered < 2*callers {
		return unplayed, fmt.Errorf("only %d answers", answered)
	}
	return held, nil
}
