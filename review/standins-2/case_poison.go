package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["poison"] = poisonCase }

const (
	// crashingPart is a prompt part that crashes each runner that begins to write an answer on it.
	crashingPart = "dead01"
	// runnerBack is the time after which a crashed runner is back.
	runnerBack = 3 * time.Second
	// allowedArrivals is the number of requests with the part that may reach runners from contact_ms after the fifth
	// crash on.
	allowedArrivals = 3
	crashesOfRule   = 5
)

// poisonCase sends requests with a prompt part that crashes runners, among sound ones, and kills all processes of the
// system once the part is known.
func poisonCase(r *Rig) (bool, error) {
	if err := r.StartStore(); err != nil {
		return false, err
	}
	r.Store.Put("op/config", config(4))
	var crashes, counted atomic.Int64
	// counting is set while all machines are in touch and contact_ms have passed since the fifth crash.
	var counting atomic.Bool
	if err := r.StartRunners(func(rn *Runner, q *RunnerRequest) {
		if !strings.Contains(q.Header.Get("Prefix-Hash"), crashingPart) {
			serveStream(rn, q)
			return
		}
		if counting.Load() {
			counted.Add(1)
		}
		r.Record.Addf("run    %s at %s, which crashes", q.Attempt, rn.ID)
		time.Sleep(20 * time.Millisecond)
		rn.Crash(runnerBack)
		crashes.Add(1)
	}); err != nil {
		return false, err
	}
	if err := r.StartDaemons(8, Fleet{Zones: []string{"alm-north", "alm-south", "alm-east", "alm-west"}}); err != nil {
		return false, err
	}
	if err := r.WaitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var sound, lost atomic.Int64
	n := 0
	send := func(tainted bool) {
		n++
		d, kind, route, parts := r.Daemons[n%len(r.Daemons)], "sound", "report", "aaaa01:3000,bbbb02:300"
		switch {
		case tainted:
			kind, parts = "tainted", "aaaa01:3000,"+crashingPart+":300"
		case n%2 == 0:
			route, parts = "chat", "cccc03:210,dddd04:140"
		}
		q := Request{Method: "POST", Host: host, Path: fmt.Sprintf("/%s/%d", route, n), Attempt: fmt.Sprintf("%s-%d", kind, n), Key: apiKey, Deadline: 6 * time.Second,
			Header: fmt.Sprintf("Model: m\r\nToken-Usage: 3500,51\r\nPrefix-Hash: %s,%x:200\r\n", parts, 0xc00000+n), Body: []byte(fmt.Sprintf("prompt %d", n))}
		wg.Go(func() {
			r.Record.Addf("send   %s to %s", q.Attempt, d.Name)
			a := Do(d.At(d.Ports.Front), q)
			r.Record.Addf("answer %s: %s", q.Attempt, a)
			if !tainted && counting.Load() {
				sound.Add(1)
				if a.Status == 200 && a.Err != nil {
					lost.Add(1)
				}
			}
		})
	}
	// load sends ten requests a second, of which one in taintedOf is tainted; 0 stands for none.
	load := func(seconds, taintedOf int) {
		for i := range 10 * seconds {
			send(taintedOf > 0 && i%taintedOf == 0)
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.Record.Addf("requests with the part begin")
	load(8, 2)
	if crashes.Load() < crashesOfRule {
		return false, fmt.Errorf("only %d crashes", crashes.Load())
	}
	time.Sleep(contact + time.Second)
	counting.Store(true)
	r.Record.Addf("contact_ms have passed since the last of %d crashes", crashes.Load())
	load(5, 5)
	r.Record.Addf("requests with the part that reached runners so far: %d", counted.Load())
	if r.Trouble {
		counting.Store(false)
		for _, d := range r.Daemons {
			d.Signal(syscall.SIGKILL)
		}
		for _, d := range r.Daemons {
			<-d.Ended()
		}
		time.Sleep(time.Second)
		for _, d := range r.Daemons {
			if err := d.Start(); err != nil {
				return false, err
			}
		}
		if err := r.WaitReady(); err != nil {
			return false, err
		}
		time.Sleep(contact + time.Second)
		r.Record.Addf("all machines are in touch again")
		counting.Store(true)
	}
	load(3, 0)
	load(20, 5)
	wg.Wait()
	r.Record.Addf("requests with the part that reached runners: %d, allowed %d; sound streams cut meanwhile: %d of %d", counted.Load(), allowedArrivals, lost.Load(), sound.Load())
	return counted.Load() > allowedArrivals, nil
}
