package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// lostRemoval removes the entry of a runner and kills all daemons at the same moment half a second later. They start again,
// and the one that is neither a seed nor a relay begins with a read of the store that is three seconds old. Requests are
// sent to it once it is in touch. The runner serves on for some seconds and exits.
func lostRemoval(p *play) (int, error) {
	const (
		daemons = 4
		contact = 3 * time.Second
		drain   = 2 * time.Second
		killAt  = 500 * time.Millisecond
		downFor = 500 * time.Millisecond
		// later is how much later than the others the judged daemon starts.
		later    = 500 * time.Millisecond
		exitAt   = 7 * time.Second
		callers  = 6
		work     = 60 * time.Millisecond
		lastOnes = 500 * time.Millisecond
	)
	var err error
	if p.store, err = newStore(); err != nil {
		return unplayed, err
	}
	var runners []*runner
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		r, err := newRunner(p.rec, p.runs, id, "desk", work)
		if err != nil {
			return unplayed, err
		}
		runners = append(runners, r)
	}
	leaving := runners[1]
	p.fleet.seeds = seedsOfRemoval
	if err := p.begin(newConfig(800), runners, daemons, nil); err != nil {
		return unplayed, err
	}
	time.Sleep(7 * time.Second)
	judged := p.fleet.daemons[judgedOfRemoval]
	removedAt := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(removedAt.Add(after))) }
	p.store.remove("servers/" + leaving.id)
	p.rec.say("the entry of %s is removed", leaving.id)
	restartAt := killAt + downFor
	if p.trouble {
		at(killAt)
		p.rec.say("all daemons are killed")
		for _, x := range p.fleet.daemons {
			if err := x.signal(syscall.SIGKILL); err != nil {
				return unplayed, err
			}
			<-x.exited
		}
		at(restartAt)
		for _, x := range p.fleet.daemons {
			if x == judged {
				continue
			}
			if err := p.fleet.start(x); err != nil {
				return unplayed, err
			}
		}
		at(restartAt + later)
		if err := p.fleet.start(judged); err != nil {
			return unplayed, err
		}
	}
	time.AfterFunc(time.Until(removedAt.Add(exitAt)), func() {
		p.rec.say("%s exits", leaving.id)
		leaving.server.Close()
	})
	at(restartAt + later + contact + 300*time.Millisecond)
	p.rec.say("%s is in touch; requests are sent to it", judged.id)
	var mu sync.Mutex
	late, lost, answered := 0, 0, 0
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := newChannel(p.rec, judged.front)
			defer k.close()
			for time.Since(removedAt) < exitAt+lastOnes {
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
	p.rec.say("%d requests to %s were answered; %d that were sent later than %s after the removal reached %s, and %d of these were lost when it exited", answered, judged.id, late, drain, leaving.id, lost)
	if late > 0 {
		return broken, nil
	}
	if answered == 0 {
		return unplayed, errors.New("no request was answered")
	}
	return held, nil
}

// seedsOfRemoval are the seeds, and judgedOfRemoval is the daemon that is no seed and, of four with these names, no relay.
var seedsOfRemoval = []int{0, 1, 3}

const judgedOfRemoval = 2
