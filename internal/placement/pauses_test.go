package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivewind/chivewind/traffic"
)

// pauseLoad plays a burst on plain endpoints that run a few requests each and reject the others, asking for a pause.
type pauseLoad struct {
	t        *testing.T
	rng      *rand.Rand
	b        *Placer
	now      time.Time
	running  map[uint32][]*Ticket
	pausedTo map[uint32]time.Time
	breaches map[uint32]int
	served   int
	rejected int
	refused  int
}

const (
	pauseSlots   = 4
	pauseService = 100 * time.Millisecond
	pauseTick    = 5 * time.Millisecond
	// pauseDuration is how long the load is played, and minPauseServed the share of what the endpoints can run that must
	// be served. The requests come in bursts, between which endpoints are idle.
	pauseDuration  = 20 * time.Second
	minPauseServed = 0.25
)

// send plays one request of this daemon.
func (l *pauseLoad) send(r Request) {
	r.Avoid = l.b.AppendPaused(nil, l.now, "q")
	c, refusal := l.b.Choose(l.now, "q", &r)
	if refusal != nil {
		l.refused++
		if end := l.b.PauseEnd(l.now, "q"); end.IsZero() {
			l.t.Errorf("refused at %s although no endpoint is paused", l.now.Sub(start))
		}
		return
	}
	ticket := l.b.Start(l.now, "q", &r, c, Local)
	if l.now.Before(l.pausedTo[c.Hash]) {
		l.breaches[c.Hash]++
	}
	if len(l.running[c.Hash]) >= pauseSlots {
		l.rejected++
		d := time.Duration(500+l.rng.IntN(1500)) * time.Millisecond
		l.pausedTo[c.Hash] = l.now.Add(d)
		l.b.Pause(l.now, c.Hash, d)
		ticket.End(l.now, Refused)
		return
	}
	l.running[c.Hash] = append(l.running[c.Hash], ticket)
}

// advance ends the requests that are complete.
func (l *pauseLoad) advance() {
	l.now = l.now.Add(pauseTick)
	for hash, tickets := range l.running {
		left := tickets[:0]
		for _, ticket := range tickets {
			if l.now.Sub(ticket.started) < pauseService {
				left = append(left, ticket)
				continue
			}
			ticket.Event(l.now)
			ticket.End(l.now, Served)
			l.served++
		}
		l.running[hash] = left
	}
}

// TestPausedEndpointsGetNoRequests guards against requests that reach an endpoint during a pause that it asked for, and
// against a burst at its end that makes it reject requests again, while callers of several classes send more than the
// endpoints can run.
func TestPausedEndpointsGetNoRequests(t *testing.T) {
	for _, endpoints := range []int{1, 3, 8} {
		for seed := range uint64(5) {
			l := &pauseLoad{
				t: t, rng: rand.New(rand.NewPCG(seed, 1)), b: testPlacer(0, endpoints), now: start,
				running: map[uint32][]*Ticket{}, pausedTo: map[uint32]time.Time{}, breaches: map[uint32]int{},
			}
			// A third more than the endpoints can run, in bursts.
			perTick := 1.33 * float64(endpoints*pauseSlots) / float64(pauseService/pauseTick)
			sent, due := 0, 0.0
			for l.now.Sub(start) < pauseDuration {
				due += perTick
				if l.rng.IntN(20) == 0 {
					for ; due >= 1; due-- {
						sent++
						l.send(Request{Class: uint32(1 + sent%3), Zone: "z0", FirstByte: time.Second})
					}
				}
				l.advance()
			}
			for hash, n := range l.breaches {
				t.Errorf("%d endpoints, seed %d: %d requests reached endpoint %x during its pauses", endpoints, seed, n, hash)
			}
			t.Logf("%d endpoints, seed %d: %d sent, %d served, %d rejected by endpoints, %d refused", endpoints, seed, sent, l.served, l.rejected, l.refused)
			if l.rejected == 0 {
				t.Errorf("%d endpoints, seed %d: nothing was rejected", endpoints, seed)
			}
			capacity := endpoints * pauseSlots * int(pauseDuration/pauseService)
			if float64(l.served) < minPauseServed*float64(capacity) {
				t.Errorf("%d endpoints, seed %d: %d served, want at least %.2f of %d", endpoints, seed, l.served, minPauseServed, capacity)
			}
		}
	}
}

// TestPauses guards against pauses that a shorter one ends early, that never end, and that let several requests through
// before the endpoint has answered one.
func TestPauses(t *testing.T) {
	b := testPlacer(0, 1)
	choice := mustChoose(t, b, start, "q", &Request{Zone: "z0"})
	excluded := func(after time.Duration) bool {
		return len(b.AppendPaused(nil, start.Add(after), "q")) > 0
	}
	send := func(after time.Duration) *Ticket {
		return b.Start(start.Add(after), "q", &Request{Zone: "z0"}, choice, Local)
	}
	b.Pause(start, choice.Hash, 3*time.Second)
	if b.Pause(start, choice.Hash, time.Second) {
		t.Error("a shorter pause replaced a longer one")
	}
	if !excluded(2900 * time.Millisecond) {
		t.Error("the pause ended early")
	}
	if end := b.PauseEnd(start, "q"); end != start.Add(3*time.Second) {
		t.Errorf("the pause ends after %s", end.Sub(start))
	}
	if _, ok := b.Resolve(start, Choice{Hash: choice.Hash}); ok {
		t.Error("the choice of another daemon is used during the pause")
	}
	if excluded(3 * time.Second) {
		t.Fatal("the pause does not end")
	}
	probe := send(3 * time.Second)
	if !excluded(3100 * time.Millisecond) {
		t.Error("a second request may follow before the first one after the pause is answered")
	}
	probe.End(start.Add(3200*time.Millisecond), Canceled)
	if excluded(3200 * time.Millisecond) {
		t.Error("no request may follow one that was canceled")
	}
	probe = send(3200 * time.Millisecond)
	probe.Event(start.Add(3300 * time.Millisecond))
	if !excluded(3300 * time.Millisecond) {
		t.Error("more requests at a time than before the pause")
	}
	probe.End(start.Add(3300*time.Millisecond), Served)
	if excluded(3300 * time.Millisecond) {
		t.Error("excluded after an answer")
	}
	b.Pause(start.Add(4*time.Second), choice.Hash, 24*time.Hour)
	if !excluded(time.Minute) || excluded(4*time.Second+MaxPause) {
		t.Error("the pause does not end after MaxPause")
	}
	restarted := choice.Endpoint
	restarted.StartedAtMs = 5
	b.SetEndpoints(start, map[string][]traffic.Endpoint{"q": {restarted}}, map[string]traffic.Endpoint{restarted.ID: restarted})
	if excluded(0) {
		t.Error("the pause of an earlier incarnation counts")
	}
}

// TestPausesThatEnd guards against an endpoint that rejected all requests for some seconds and gets only a few long after.
func TestPausesThatEnd(t *testing.T) {
	b := testPlacer(0, 1)
	choice := mustChoose(t, b, start, "q", &Request{Zone: "z0"})
	now := start
	for range 5 {
		ticket := b.Start(now, "q", &Request{Zone: "z0"}, choice, Local)
		b.Pause(now, choice.Hash, time.Second)
		ticket.End(now, Refused)
		now = now.Add(time.Second)
	}
	running := 0
	for ended := now; now.Sub(ended) < 7*time.Second; now = now.Add(100 * time.Millisecond) {
		for len(b.AppendPaused(nil, now, "q")) == 0 && running < 64 {
			b.Start(now, "q", &Request{Zone: "z0"}, choice, Local).Event(now)
			running++
		}
	}
	if running < 64 {
		t.Errorf("%d requests at a time 7 s after the last pause, want 64", running)
	}
}

// TestPausesOfPeers guards against a scheduler whose own pauses keep the requests of other daemons from an endpoint.
func TestPausesOfPeers(t *testing.T) {
	b := testPlacer(1, 0)
	choice := mustChoose(t, b, start, "p", &Request{Zone: "z0"})
	b.Pause(start, choice.Hash, 3*time.Second)
	for range 2 {
		b.Start(start, "p", &Request{Zone: "z0"}, mustChoose(t, b, start, "p", &Request{Zone: "z0"}), ScheduledForPeer)
	}
	if own := b.Unavailable(start, "p"); len(own) != 1 {
		t.Errorf("own requests avoid %v", own)
	}
	end := start.Add(3 * time.Second)
	b.Start(end, "p", &Request{Zone: "z0"}, choice, ScheduledForPeer)
	if own := b.Unavailable(end, "p"); len(own) != 0 {
		t.Errorf("after the pause own requests avoid %v, because another daemon sent one", own)
	}
}

// TestLeavingEndpoint guards against requests to an endpoint that has said that it is leaving: after a listing in
// which it is ready, after one without it, and when another daemon chose it; and against a mark that outlives the
// endpoint.
func TestLeavingEndpoint(t *testing.T) {
	b := testPlacer(0, 2)
	leaving := mustChoose(t, b, start, "q", &Request{Zone: "z0"})
	other := mustChoose(t, b, start, "q", &Request{Zone: "z0", Avoid: []uint32{leaving.Hash}})
	if !b.SetLeaving(start, leaving.Hash) || b.SetLeaving(start, leaving.Hash) {
		t.Error("not known once")
	}
	list := func(endpoints ...traffic.Endpoint) {
		all := map[string]traffic.Endpoint{}
		for _, e := range endpoints {
			all[e.ID] = e
		}
		b.SetEndpoints(start, map[string][]traffic.Endpoint{"q": endpoints}, all)
	}
	check := func(desc string) {
		t.Helper()
		if c := mustChoose(t, b, start, "q", &Request{Zone: "z0"}); c.Hash == leaving.Hash {
			t.Errorf("%s: chosen", desc)
		}
		if _, refusal := b.Choose(start, "q", &Request{Zone: "z0", Avoid: []uint32{other.Hash}}); refusal == nil {
			t.Errorf("%s: chosen as the last one", desc)
		}
		if _, ok := b.Resolve(start, Choice{Hash: leaving.Hash}); ok {
			t.Errorf("%s: the choice of another daemon is used", desc)
		}
		if got := fmt.Sprint(b.Unavailable(start, "q")); got != fmt.Sprint([]uint32{leaving.Hash}) && b.byHash[leaving.Hash] != nil {
			t.Errorf("%s: other daemons are told to avoid %s", desc, got)
		}
	}
	check("at once")
	list(leaving.Endpoint, other.Endpoint)
	check("listed as ready")
	list(other.Endpoint)
	list(leaving.Endpoint, other.Endpoint)
	check("listed again")
	restarted := leaving.Endpoint
	restarted.StartedAtMs = 5
	list(restarted)
	mustChoose(t, b, start, "q", &Request{Zone: "z0"})
}
