package main

import (
	"fmt"
	"time"
)

// stormOfLargeConfigs has 25 versions of a configuration of 8,500 workspaces confirmed in two seconds, while the store is
// slow. The last version drops a key, and a route that all others had. It then sends requests with both.
func stormOfLargeConfigs(p *play) (int, error) {
	const (
		workspaces  = 8500
		versions    = 25
		gap         = 80 * time.Millisecond
		slowAnswers = 89 * answerDelay
		slowFor     = 5900 * time.Millisecond
		contact     = 3 * time.Second
		configApply = 2 * time.Second
		droppedKey  = "anfqasnmgkcuyj8pjbvk"
		playedFor   = 30 * time.Second
	)
	var err error
	if p.store, err = newStore(); err != nil {
		return unplayed, err
	}
	r, err := newRunner(p.rec, p.runs, "i-1", "desk", 5*time.Millisecond)
	if err != nil {
		return unplayed, err
	}
	c := newConfig(800)
	c.Tenants[0].APIKeys = append(c.Tenants[0].APIKeys, droppedKey)
	for i := range workspaces {
		c.Tenants = append(c.Tenants, tenant{
			Name: fmt.Sprintf("workspace-%05d", i), APIKeys: []string{fmt.Sprintf("key-a-%022d", i), fmt.Sprintf("key-b-%022d", i)},
		})
	}
	old := route{Name: "r-old", Hostname: "desk.example", Prefix: "/old/", Kind: "safe", TimeoutMs: 800, SloMs: 300, Service: "desk", MaxAttempts: 2}
	c.Routes = append(c.Routes, old)
	p.rec.say("a version has %d bytes", len(c.encode()))
	if err := p.begin(c, []*runner{r}, 3, nil); err != nil {
		return unplayed, err
	}
	for _, x := range p.fleet.daemons {
		for _, path := range []string{"/look/1", "/old/1"} {
			if o := newChannel(p.rec, x.front).do("GET", path, droppedKey, nil, time.Second); o.status != 200 {
				return unplayed, fmt.Errorf("%s answers %d before the changes", x.id, o.status)
			}
		}
	}
	time.Sleep(4 * time.Second)
	stable := time.Now()
	if p.trouble {
		p.rec.say("the store's answers take %s from now on", slowAnswers)
		p.store.setDelay(slowAnswers)
		stable = stable.Add(slowFor)
		time.AfterFunc(slowFor, func() {
			p.rec.say("the store's answers take %s again", answerDelay)
			p.store.setDelay(answerDelay)
		})
		time.Sleep(time.Second)
	}
	for i := range versions {
		c.Version += 1 + i%3
		c.Routes[2].TimeoutMs = 700 + c.Version
		if i == versions-1 {
			c.Routes = c.Routes[:2]
			c.Tenants[0].APIKeys = c.Tenants[0].APIKeys[:1]
		}
		raw := c.encode()
		time.Sleep(gap)
		p.rec.add("version %d is confirmed at revision %d", c.Version, p.store.put("op/config", raw))
	}
	confirmed := time.Now()
	p.rec.say("the last version drops the key and the route %s", old.Prefix)
	inForce := confirmed.Add(configApply)
	if inTouch := stable.Add(contact); inTouch.After(inForce) {
		inForce = inTouch
	}
	stale, last := 0, time.Time{}
	for time.Since(confirmed) < playedFor {
		for _, x := range p.fleet.daemons {
			sent := time.Now()
			key := newChannel(p.rec, x.front).do("GET", "/look/1", droppedKey, nil, time.Second)
			dropped := newChannel(p.rec, x.front).do("GET", "/old/1", callerKey, nil, time.Second)
			if !sent.After(inForce) {
				continue
			}
			for _, o := range []outcome{key, dropped} {
				if len(p.runs.find(o.id)) > 0 {
					stale, last = stale+1, sent
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if stale > 0 {
		p.rec.say("%d requests ran with the dropped key or the dropped route after it was due, the last one sent %.1f s after the confirmation", stale, last.Sub(confirmed).Seconds())
		return broken, nil
	}
	return held, nil
}
