package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// partLoad plays requests with prompt parts on a pool of engines, of which some crash, and counts what callers get.
// Daemons learn of crashes and answers after a delay; each request is decided on by a random one.
type partLoad struct {
	rng     *rand.Rand
	now     time.Time
	tables  []*PartTable
	engines []*loadEngine
	running []*loadRequest
	// pending are news that have not yet reached all daemons.
	pending []loadNews
	options loadOptions

	// deadlyCrashes are the times at which a deadly request crashed an engine, and deadlyLate is the number of deadly
	// requests that were sent later than loadContact after the fifth.
	deadlyCrashes                    []time.Time
	deadlyLate, sound, soundRejected int
}

type loadOptions struct {
	daemons, engines int
	perSecond        float64
	// sharedParts is the number of first parts, from which requests choose with Zipf's law.
	sharedParts int
	// deadlyShare is the share of the requests with the part that crashes engines, and deadlyFirst the number of first
	// parts that such requests have.
	deadlyShare float64
	deadlyFirst int
	delay       time.Duration
	// crash, if not 0, is the share of the engines that crash together, for a reason of their own, every crashEvery.
	crash      float64
	crashEvery time.Duration
}

const (
	loadTick     = 10 * time.Millisecond
	loadDuration = 40 * time.Second
	// loadContact is the time after the fifth crash from which the users count requests with the deadly part.
	loadContact  = 3 * time.Second
	loadPrefill  = 300 * time.Millisecond
	loadAnswer   = 2 * time.Second
	loadDownTime = 4 * time.Second
)

type loadEngine struct {
	index       int
	incarnation uint64
	downUntil   time.Time
}

type loadRequest struct {
	engine  int
	parts   []PartKey
	deadly  bool
	ended   bool
	started time.Time
}

type loadNews struct {
	at, due time.Time
	daemon  int
	crash   *CrashID
	parts   []PartKey
}

const deadlyPart = PartKey(1 << 60)

func playParts(seed uint64, o loadOptions) *partLoad {
	l := &partLoad{rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), options: o}
	for range o.daemons {
		l.tables = append(l.tables, NewPartTable(0))
	}
	for i := range o.engines {
		l.engines = append(l.engines, &loadEngine{index: i})
	}
	zipf := rand.NewZipf(l.rng, 1.3, 10, uint64(o.sharedParts-1))
	end, arrivals, nextCrash := l.now.Add(loadDuration), 0.0, l.now.Add(o.crashEvery)
	for l.now.Before(end) {
		l.now = l.now.Add(loadTick)
		for arrivals += o.perSecond * loadTick.Seconds(); arrivals >= 1; arrivals-- {
			if l.rng.Float64() < o.deadlyShare {
				l.arrive(true, PartKey(l.rng.IntN(o.deadlyFirst)), deadlyPart)
			} else {
				l.arrive(false, PartKey(zipf.Uint64()))
			}
		}
		if o.crash > 0 && !l.now.Before(nextCrash) {
			nextCrash = l.now.Add(o.crashEvery)
			for i := range l.engines {
				if l.rng.Float64() < o.crash {
					l.crash(i)
				}
			}
		}
		l.progress()
		l.deliver()
	}
	return l
}

// arrive decides on a request and starts it.
func (l *partLoad) arrive(deadly bool, parts ...PartKey) {
	rejected := l.tables[l.rng.IntN(len(l.tables))].Rejects(l.now, parts)
	late := len(l.deadlyCrashes) >= 5 && l.now.Sub(l.deadlyCrashes[4]) > loadContact
	switch {
	case deadly && !rejected && late:
		l.deadlyLate++
	case !deadly:
		l.sound++
		if rejected {
			l.soundRejected++
		}
	}
	if rejected {
		return
	}
	// Requests with the same first part mostly go to the same engine.
	i := int(parts[0]) % len(l.engines)
	if l.now.Before(l.engines[i].downUntil) || l.rng.Float64() < 0.3 {
		up := slices.DeleteFunc(slices.Clone(l.engines), func(e *loadEngine) bool { return l.now.Before(e.downUntil) })
		if len(up) == 0 {
			return
		}
		i = up[l.rng.IntN(len(up))].index
	}
	l.running = append(l.running, &loadRequest{engine: i, parts: parts, deadly: deadly, started: l.now})
}

// progress ends answers and crashes the engines that begin to answer a deadly request.
func (l *partLoad) progress() {
	for _, r := range l.running {
		age := l.now.Sub(r.started)
		switch {
		case r.ended:
		case r.deadly && age >= loadPrefill:
			l.deadlyCrashes = append(l.deadlyCrashes, l.now)
			l.crash(r.engine)
		case age >= loadPrefill+loadAnswer:
			r.ended = true
			l.tell(loadNews{at: l.now, parts: r.parts})
		}
	}
	l.running = slices.DeleteFunc(l.running, func(r *loadRequest) bool { return r.ended })
}

func (l *partLoad) crash(engine int) {
	e := l.engines[engine]
	id := CrashID{Endpoint: fmt.Sprint(engine), StartedAtMs: e.incarnation}
	e.incarnation++
	e.downUntil = l.now.Add(loadDownTime)
	for _, r := range l.running {
		if r.ended || r.engine != engine {
			continue
		}
		r.ended = true
		if l.now.Sub(r.started) <= loadPrefill {
			l.tell(loadNews{at: l.now, crash: &id, parts: r.parts})
		}
	}
}

// tell sends news to all daemons, to one at once.
func (l *partLoad) tell(n loadNews) {
	first := l.rng.IntN(len(l.tables))
	for daemon := range l.tables {
		n.daemon, n.due = daemon, l.now
		if daemon != first {
			n.due = l.now.Add(time.Duration(l.rng.Float64() * float64(l.options.delay)))
		}
		l.pending = append(l.pending, n)
	}
}

func (l *partLoad) deliver() {
	l.pending = slices.DeleteFunc(l.pending, func(n loadNews) bool {
		if n.due.After(l.now) {
			return false
		}
		t := l.tables[n.daemon]
		if n.crash != nil {
			t.Add(l.now, n.at, *n.crash, n.parts)
			return true
		}
		for _, part := range n.parts {
			t.Answered(l.now, n.at, part)
		}
		return true
	})
}

// TestDeadlyPartIsRejected guards against requests with one part that crash one engine after the other, and against
// sound requests that are rejected because they share their first part with them.
func TestDeadlyPartIsRejected(t *testing.T) {
	for _, o := range []loadOptions{
		{daemons: 8, engines: 9, perSecond: 12, sharedParts: 122, deadlyShare: 0.05, deadlyFirst: 1, delay: 500 * time.Millisecond},
		{daemons: 8, engines: 9, perSecond: 12, sharedParts: 122, deadlyShare: 0.05, deadlyFirst: 122, delay: 500 * time.Millisecond},
		{daemons: 8, engines: 9, perSecond: 12, sharedParts: 4, deadlyShare: 0.05, deadlyFirst: 4, delay: 500 * time.Millisecond},
		{daemons: 6, engines: 60, perSecond: 120, sharedParts: 185, deadlyShare: 0.05, deadlyFirst: 1, delay: time.Second},
		{daemons: 6, engines: 60, perSecond: 120, sharedParts: 185, deadlyShare: 0.3, deadlyFirst: 185, delay: time.Second},
		{daemons: 4, engines: 240, perSecond: 400, sharedParts: 400, deadlyShare: 0.02, deadlyFirst: 1, delay: time.Second},
	} {
		for seed := range uint64(3) {
			l := playParts(seed, o)
			t.Logf("%+v seed %d: %d engines crashed, %d deadly requests sent late, %d of %d sound ones rejected", o, seed, len(l.deadlyCrashes), l.deadlyLate, l.soundRejected, l.sound)
			if l.deadlyLate > 3 {
				t.Errorf("%+v seed %d: %d requests with the deadly part were sent later than %s after the fifth crash, want at most 3", o, seed, l.deadlyLate, loadContact)
			}
			if l.soundRejected*100 > l.sound {
				t.Errorf("%+v seed %d: %d of %d sound requests were rejected, want at most 1%%", o, seed, l.soundRejected, l.sound)
			}
		}
	}
}

// TestCrashingEnginesRejectNothing guards against sound parts that are rejected because engines crash for reasons of
// their own.
func TestCrashingEnginesRejectNothing(t *testing.T) {
	for _, o := range []loadOptions{
		{daemons: 8, engines: 9, perSecond: 12, sharedParts: 122, delay: 500 * time.Millisecond, crash: 0.3, crashEvery: 3 * time.Second},
		{daemons: 6, engines: 60, perSecond: 120, sharedParts: 20, delay: time.Second, crash: 0.3, crashEvery: 1400 * time.Millisecond},
		{daemons: 4, engines: 240, perSecond: 400, sharedParts: 400, delay: time.Second, crash: 0.3, crashEvery: 5 * time.Second},
	} {
		for seed := range uint64(3) {
			l := playParts(seed, o)
			t.Logf("%+v seed %d: %d of %d sound requests rejected", o, seed, l.soundRejected, l.sound)
			if l.soundRejected*200 > l.sound {
				t.Errorf("%+v seed %d: %d of %d sound requests were rejected, want at most 0.5%%", o, seed, l.soundRejected, l.sound)
			}
		}
	}
}

// addCrashes adds n crashes, a second apart, at which the parts were present, and returns the time of the last.
func addCrashes(table *PartTable, start time.Time, n int, parts ...PartKey) time.Time {
	at := start
	for i := range n {
		at = start.Add(time.Duration(i) * time.Second)
		table.Add(at, at, CrashID{Endpoint: fmt.Sprint(at.UnixNano())}, parts)
	}
	return at
}

// TestPartsPresentTogether guards against requests that are rejected for a part that only accompanied the cause, and
// against requests that are sent with a cause that had company.
func TestPartsPresentTogether(t *testing.T) {
	table := NewPartTable(0)
	now := addCrashes(table, time.Unix(100, 0), 3, 1, 2)
	for _, c := range []struct {
		parts []PartKey
		want  bool
	}{{[]PartKey{1, 2}, true}, {[]PartKey{1}, false}, {[]PartKey{2}, false}, {[]PartKey{2, 3, 1}, true}, {nil, false}} {
		if got := table.Rejects(now, c.parts); got != c.want {
			t.Errorf("parts %v rejected: %t, want %t", c.parts, got, c.want)
		}
	}
	now = now.Add(time.Second)
	table.Answered(now, now, 1)
	if table.Rejects(now, []PartKey{1, 3}) || !table.Rejects(now, []PartKey{2}) {
		t.Errorf("after an answer with part 1: part 1 rejected %t, part 2 %t; want only part 2", table.Rejects(now, []PartKey{1, 3}), table.Rejects(now, []PartKey{2}))
	}
	if table.Answered(now, now.Add(-time.Minute), 2) || !table.Rejects(now, []PartKey{2}) {
		t.Error("an answer before the crashes clears them")
	}
}

// TestRejectionEnds guards against a part that is rejected for long on the evidence of few crashes, and against one that
// is sent again after many.
func TestRejectionEnds(t *testing.T) {
	for _, c := range []struct {
		crashes int
		want    time.Duration
	}{{2, 0}, {3, firstBlock}, {4, 2 * firstBlock}, {5, Expiry}, {70, Expiry}} {
		table := NewPartTable(0)
		last := addCrashes(table, time.Unix(100, 0), c.crashes, 1)
		// The last certainCrashes crashes expire within as many seconds.
		if c.want > 0 && !table.Rejects(last.Add(c.want-certainCrashes*time.Second), []PartKey{1}) {
			t.Errorf("%d crashes: not rejected for %s", c.crashes, c.want)
		}
		if table.Rejects(last.Add(c.want), []PartKey{1}) {
			t.Errorf("%d crashes: still rejected after %s", c.crashes, c.want)
		}
	}
}

// TestSeveralCrashesAtOnceAreEvidence guards against a part that has crashed five engines, some of them together, and is
// sent again soon because the crashes happened at only three moments.
func TestSeveralCrashesAtOnceAreEvidence(t *testing.T) {
	table := NewPartTable(0)
	last := addCrashes(table, time.Unix(100, 0), PartCrashLimit, 1)
	table.Add(last, last, CrashID{Endpoint: "a"}, []PartKey{1})
	table.Add(last, last, CrashID{Endpoint: "b"}, []PartKey{1})
	if !table.Rejects(last.Add(2*firstBlock), []PartKey{1}) {
		t.Errorf("%d crashes: not rejected any more after %s", certainCrashes, 2*firstBlock)
	}
}

// TestPartTableIsBounded guards against a table that grows with each crash, and against one that forgets rejected parts
// for others.
func TestPartTableIsBounded(t *testing.T) {
	const limit = 50
	table := NewPartTable(limit)
	now := addCrashes(table, time.Unix(100, 0), 3, 1)
	for i := range PartKey(10 * limit) {
		now = addCrashes(table, now, 1, i+10)
	}
	if table.Len() > limit || len(table.present) > limit {
		t.Errorf("%d parts and %d crashes in a table of %d", table.Len(), len(table.present), limit)
	}
	if !table.Rejects(now, []PartKey{1}) {
		t.Error("a rejected part was forgotten")
	}
}
