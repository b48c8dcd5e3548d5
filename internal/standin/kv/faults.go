package kv

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errLost means that the reply of a call is not delivered.
var errLost = errors.New("reply lost")

// errDown means that the service accepts no calls.
var errDown = errors.New("service down")

// Fault changes the handling of one write.
type Fault struct {
	// Before delays the write. It takes effect even if the caller has gone by then.
	Before time.Duration `json:"before_ns,omitempty"`
	// After delays the reply of a write that took effect.
	After time.Duration `json:"after_ns,omitempty"`
	// Drop loses the reply.
	Drop bool `json:"drop,omitempty"`
	// Skip loses the request, so that the write has no effect and the caller gets no reply.
	Skip bool `json:"skip,omitempty"`
}

// WriteFault returns the fault with a name, for scenarios that draw faults at random: "lose reply",
// "lose request", "late write" or "late reply". length is the time by which a call is late.
func WriteFault(name string, length time.Duration) (fault Fault, ok bool) {
	switch name {
	case "lose reply":
		return Fault{Drop: true}, true
	case "lose request":
		return Fault{Skip: true}, true
	case "late write":
		return Fault{Before: length}, true
	case "late reply":
		return Fault{After: length}, true
	}
	return Fault{}, false
}

// Counters are calls by kind, as the service bills them; an open watch is one call.
type Counters struct {
	Ranges     int `json:"ranges"`
	Txns       int `json:"txns"`
	Grants     int `json:"grants"`
	KeepAlives int `json:"keep_alives"`
	Revokes    int `json:"revokes"`
	Watches    int `json:"watches"`
}

// Faults are the switches of a Client or a Server. The zero value has no faults.
type Faults struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	replyDelay  time.Duration
	hang        bool
	silentWatch bool
	writes      map[int]Fault
	count       Counters
}

// SetDown makes all calls fail at once and ends open watches.
func (f *Faults) SetDown(down bool) { f.set(func() { f.down = down }) }

// SetDelay delays each call by a time before it takes effect.
func (f *Faults) SetDelay(d time.Duration) { f.set(func() { f.delay = d }) }

// SetReplyDelay delays the reply of each call that took effect.
func (f *Faults) SetReplyDelay(d time.Duration) { f.set(func() { f.replyDelay = d }) }

// SetHang makes calls neither take effect nor return until the caller gives up.
func (f *Faults) SetHang(hang bool) { f.set(func() { f.hang = hang }) }

// SetSilentWatch makes open and new watches report neither events nor progress.
func (f *Faults) SetSilentWatch(silent bool) { f.set(func() { f.silentWatch = silent }) }

// FailWrite applies a fault to the n-th write from now on; 1 is the next one.
// Transactions, grants and revocations count as writes.
func (f *Faults) FailWrite(n int, fault Fault) {
	f.set(func() {
		if f.writes == nil {
			f.writes = map[int]Fault{}
		}
		f.writes[n] = fault
	})
}

// Reset switches all faults off.
func (f *Faults) Reset() {
	f.set(func() {
		f.down, f.delay, f.replyDelay, f.hang, f.silentWatch, f.writes = false, 0, 0, false, false, nil
	})
}

// Counters returns the calls so far.
func (f *Faults) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

func (f *Faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *Faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *Faults) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silentWatch
}

// enter counts a call and returns the fault that applies to it.
func (f *Faults) enter(count func(*Counters), write bool) (Fault, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Fault{}, false, errDown
	}
	count(&f.count)
	var fault Fault
	if write {
		fault = f.writes[1]
		next := map[int]Fault{}
		for n, later := range f.writes {
			if n > 1 {
				next[n-1] = later
			}
		}
		f.writes = next
	}
	fault.Before += f.delay
	fault.After += f.replyDelay
	return fault, f.hang, nil
}

// apply runs a call under the faults. The call takes effect even if ctx ends meanwhile, as a
// request does that is already on the wire.
func (f *Faults) apply(ctx context.Context, count func(*Counters), write bool, run func()) error {
	fault, hang, err := f.enter(count, write)
	if err != nil {
		return err
	}
	if hang || fault.Skip {
		<-ctx.Done()
		return errLost
	}
	done := make(chan struct{})
	work := func() {
		time.Sleep(fault.Before)
		run()
		time.Sleep(fault.After)
		close(done)
	}
	if fault.Before+fault.After == 0 {
		work()
	} else {
		go work()
	}
	select {
	case <-done:
	case <-ctx.Done():
		return errLost
	}
	if fault.Drop {
		<-ctx.Done()
		return errLost
	}
	return nil
}
