package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lostRemoval removes the entry of a runner while one daemon is cut off from the store and the other one is down. It then
// changes the configuration, heals the cut, and sends requests to the first daemon once it is in touch again. The runner
// serves on for some seconds and exits.
func lostRemoval(p *play) (int, error) {
	const (
		contact   = 3 * time.Second
		drain     = 2 * time.Second
		cutFor    = 4 * time.Second
		removeAt  = 300 * time.Millisecond
		restartAt = 800 * time.Millisecond
		changeAt  = 1600 * time.Millisecond
		exitAt    = 9 * time.Second
		callers   = 6
		work      = 60 * time.Millisecond
	)
	var err error
	if p.store, err = newStore(); err != nil {
		return unplayed, err
	}
	var runners []*runner
	for i := range 3 {
		r, err := newRunner(p.rec, p.runs, fmt.Sprintf("i-%d", i+1), "desk", work)
		if err != nil {
			return unplayed, err
		}
		runners = append(runners, r)
	}
	leaving := runners[1]
	path, err := newLink(p.store.address())
	if err != nil {
		return unplayed, err
	}
	p.fleet.seeds = []int{1}
	c := newConfig(800)
	if err := p.begin(c, runners, 2, func(i int) string {
		if i == 0 {
			return path.address()
		}
		return p.store.address()
	}); err != nil {
		return unplayed, err
	}
	time.Sleep(6 * time.Second)
	cut, restarted := p.fleet.daemons[0], p.fleet.daemons[1]
	start := time.Now()
	until := func(after time.Duration) { time.Sleep(time.Until(start.Add(after))) }
	if p.trouble {
		p.rec.say("%s is cut off from the store", cut.id)
		path.set(true)
	}
	p.rec.say("%s is killed", restarted.id)
	if err := restarted.signal(syscall.SIGKILL); err != nil {
		return unplayed, err
	}
	<-restarted.exited
	until(removeAt)
	p.store.remove("servers/" + leaving.id)
	removedAt := time.Now()
	p.rec.say("the entry of %s is removed", leaving.id)
	until(restartAt)
	if err := p.fleet.start(restarted); err != nil {
		return unplayed, err
	}
	until(changeAt)
	c.Version += 2
	c.Routes[0].TimeoutMs, c.Routes[1].TimeoutMs = 750, 750
	p.store.put("op/config", c.encode())
	p.rec.say("version %d of the configuration is confirmed", c.Version)
	until(cutFor)
	path.set(false)
	p.rec.say("the path of %s to the store is whole", cut.id)
	until(cutFor + contact + 200*time.Millisecond)
	time.AfterFunc(time.Until(start.Add(exitAt)), func() {
		p.rec.say("%s exits", leaving.id)
		leaving.server.Close()
	})
	var mu sync.Mutex
	late, lost, answered := 0, 0, 0
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := newChannel(p.rec, cut.front)
			defer k.close()
			for time.Since(start) < exitAt+500*time.Millisecond {
				o := k.do("POST", "/book/1", callerKey, []byte("{}"), 800*time.Millisecond)
				mu.Lock()
				if o.whole && o.status == 200 {
					answered++
				}
				for _, x := range p.runs.find(o.id) {
					if x.runner == leaving.id && o.sent.Sub(removedAt) > drain {
						late++
						if o.status != 200 {
							lost++
							p.rec.say("%s ran on %s and ended with status %d", o.id, leaving.id, o.status)
						}
					}
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	p.rec.say("%d requests to %s were answered; %d that were sent later than %s after the removal reached %s, and %d of these were lost when it exited", answered, cut.id, late, drain, leaving.id, lost)
	if late > 0 {
		return broken, nil
	}
	if answered == 0 {
		return unplayed, fmt.Errorf("no request was answered")
	}
	return held, nil
}
