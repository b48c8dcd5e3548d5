package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// lookup is one request of refusedLookups.
type lookup struct {
	tenant, kind string
	sent         time.Time
	served       bool
	id           string
}

// refusedLookups lets one tenant look up the same status again and again, and another one different statuses, while two of
// three runners lose answers for some seconds, and for long after that. Both send less urgent and larger bookings, too.
func refusedLookups(p *play) (int, error) {
	const (
		callersEach = 8
		interval    = 100 * time.Millisecond
		quiet       = 4 * time.Second
		losing      = 6 * time.Second
		calm        = 3 * time.Second
		after       = 50 * time.Second
		work        = 60 * time.Millisecond
		longWork    = 150 * time.Millisecond
		bookedBytes = 4000
		otherKey    = "anfqasnmgkcuyj8pjbvk"
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
		r.longWork = longWork
		runners = append(runners, r)
	}
	c := newConfig(800)
	c.Routes[0].Priority, c.Routes[1].Priority = 2, 0
	c.Tenants = append(c.Tenants, tenant{Name: "mora114", APIKeys: []string{otherKey}})
	if err := p.begin(c, runners, 3, nil); err != nil {
		return unplayed, err
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	calmFrom := start.Add(quiet + losing + calm)
	end := start.Add(quiet + losing + after)
	if p.trouble {
		for _, r := range runners[:2] {
			time.AfterFunc(quiet, func() { p.rec.say("%s begins to lose answers", r.id); r.losing.Store(true) })
			time.AfterFunc(quiet+losing, func() { p.rec.say("%s loses no more answers", r.id); r.losing.Store(false) })
		}
	}
	var mu sync.Mutex
	var all []lookup
	refusals := map[string]bool{}
	var wg sync.WaitGroup
	call := func(tenant, key, kind, method string, path func(int) string, body []byte, front string) {
		defer wg.Done()
		k := newChannel(p.rec, front)
		defer k.close()
		for n := 0; time.Now().Before(end); n++ {
			o := k.do(method, path(n), key, body, 1500*time.Millisecond)
			x := lookup{tenant: tenant, kind: kind, sent: o.sent, served: o.whole && o.status == 200, id: o.id}
			mu.Lock()
			all = append(all, x)
			if text := fmt.Sprintf("status %d, %q", o.status, strings.TrimSpace(o.body)); !x.served && x.sent.After(calmFrom) && !refusals[text] {
				refusals[text] = true
				p.rec.say("%s of tenant %s, sent in the calm after the disruption: %s", o.id, tenant, text)
			}
			mu.Unlock()
			time.Sleep(time.Until(o.sent.Add(interval)))
		}
	}
	for i := range callersEach {
		front := p.fleet.daemons[i%len(p.fleet.daemons)].front
		wg.Add(3)
		go call("hule930", callerKey, "lookup", "GET", func(int) string { return "/look/bench-7" }, nil, front)
		go call("mora114", otherKey, "lookup", "GET", func(n int) string { return fmt.Sprintf("/look/bench-%d-%d", i, n) }, nil, front)
		go call("mora114", otherKey, "booking", "POST", func(n int) string { return fmt.Sprintf("/book/%d-%d", i, n) }, make([]byte, bookedBytes), front)
	}
	wg.Wait()
	return p.judgeLookups(all, calmFrom, end)
}

// judgeLookups checks that in no five seconds of the calm ten or more and over a twelfth of the lookups got nothing while
// bookings began, and reports how often each tenant was served.
func (p *play) judgeLookups(all []lookup, calmFrom, end time.Time) (int, error) {
	const window = 5 * time.Second
	served, sent := map[string]int{}, map[string]int{}
	for _, x := range all {
		sent["all"]++
		sent[x.tenant]++
		if x.served {
			served["all"]++
			served[x.tenant]++
		}
	}
	windows, bad := 0, 0
	for from := calmFrom; !from.Add(window).After(end); from = from.Add(window) {
		lookups, nothing, bookings := 0, 0, 0
		for _, x := range all {
			switch in := !x.sent.Before(from) && x.sent.Before(from.Add(window)); {
			case in && x.kind == "lookup":
				lookups++
				if !x.served && len(p.runs.find(x.id)) == 0 {
					nothing++
				}
			case in && x.served:
				bookings++
			}
		}
		windows++
		if nothing >= 10 && 12*nothing > lookups && bookings > 0 {
			bad++
		}
		p.rec.add("5 s of the calm: %d of %d lookups got nothing, %d bookings were served", nothing, lookups, bookings)
	}
	share := func(who string) float64 { return float64(served[who]) / float64(max(sent[who], 1)) }
	for _, who := range []string{"hule930", "mora114", "all"} {
		p.rec.say("%s: %d of %d served (%.3f)", who, served[who], sent[who], share(who))
	}
	p.rec.say("in %d of %d spans of 5 s in the calm, over a twelfth of the lookups got nothing while bookings began", bad, windows)
	if served["all"] == 0 {
		return unplayed, fmt.Errorf("no request was served")
	}
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}
