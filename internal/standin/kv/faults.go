package kv

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errReplyLost is returned by apply when the caller gets no reply; the call may have taken effect.
var errReplyLost = errors.New("reply lost")

// errServiceDown is returned by apply when the service accepts no calls.
var errServiceDown = errors.New("service down")

// Fault is a fault injected into one write.
type Fault struct {
	// RequestDelay delays the write. The write takes effect even if the caller has timed out by then.
	RequestDelay time.Duration `json:"before_ns,omitempty"`
	// ReplyDelay delays the reply after the write has taken effect.
	ReplyDelay time.Duration `json:"after_ns,omitempty"`
	// DropReply drops the reply.
	DropReply bool `json:"drop,omitempty"`
	// DropRequest drops the request: the write has no effect and the caller gets no reply.
	DropRequest bool `json:"skip,omitempty"`
}

// WriteFault returns the fault with the given name, for scenarios that choose faults at random: "lose reply",
// "lose request", "late write" or "late reply". delay is the delay of the latter two. ok is false for any
// other name.
func WriteFault(name string, delay time.Duration) (fault Fault, ok bool) {
	switch name {
	case "lose reply":
		return Fault{DropReply: true}, true
	case "lose request":
		return Fault{DropRequest: true}, true
	case "late write":
		return Fault{RequestDelay: delay}, true
	case "late reply":
		return Fault{ReplyDelay: delay}, true
	}
	return Fault{}, false
}

// Counters counts calls by kind, as the service bills them; opening a watch counts as one call.
type Counters struct {
	Ranges     int `json:"ranges"`
	Txns       int `json:"txns"`
	Grants     int `json:"grants"`
	KeepAlives int `json:"keep_alives"`
	Revokes    int `json:"revokes"`
	Watches    int `json:"watches"`
}

// Faults holds the active faults and the call counters of a Client or a Server. The zero value has no faults.
// It is safe for concurrent use.
type Faults struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	replyDelay  time.Duration
	hang        bool
	silentWatch bool
	// writes has the faults of later writes by their number from now on; 1 is the next write.
	writes   map[int]Fault
	counters Counters
}

// SetDown makes all calls fail immediately and ends open watches, within progressInterval at the latest.
func (f *Faults) SetDown(down bool) { f.update(func() { f.down = down }) }

// SetDelay delays each call by d before it takes effect.
func (f *Faults) SetDelay(d time.Duration) { f.update(func() { f.delay = d }) }

// SetReplyDelay delays the reply of each call by d after the call has taken effect.
func (f *Faults) SetReplyDelay(d time.Duration) { f.update(func() { f.replyDelay = d }) }

// SetHang makes calls block without taking effect until the caller's context ends.
func (f *Faults) SetHang(hang bool) { f.update(func() { f.hang = hang }) }

// SetSilentWatch makes open and new watches send neither events nor progress notifications. The events are sent after
// it has been switched off.
func (f *Faults) SetSilentWatch(silent bool) { f.update(func() { f.silentWatch = silent }) }

// InjectWriteFault injects a fault into the n-th write from now on; 1 is the next one.
// Transactions, grants and revocations count as writes.
func (f *Faults) InjectWriteFault(n int, fault Fault) {
	f.update(func() {
		if f.writes == nil {
			f.writes = map[int]Fault{}
		}
		f.writes[n] = fault
	})
}

// Reset clears all faults.
func (f *Faults) Reset() {
	f.update(func() {
		f.down, f.delay, f.replyDelay, f.hang, f.silentWatch, f.writes = false, 0, 0, false, false, nil
	})
}

// Counters returns the number of calls so far.
func (f *Faults) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counters
}

func (f *Faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *Faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *Faults) isWatchSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silentWatch
}

// beginCall counts a call and returns the fault to inject into it, and whether it hangs.
func (f *Faults) beginCall(count func(*Counters), write bool) (Fault, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Fault{}, false, errServiceDown
	}
	count(&f.counters)
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
	fault.RequestDelay += f.delay
	fault.ReplyDelay += f.replyDelay
	return fault, f.hang, nil
}

// apply runs a call with the faults injected. A call that has started takes effect even if ctx ends meanwhile,
// as a request that is already on the network does.
func (f *Faults) apply(ctx context.Context, count func(*Counters), write bool, run func()) error {
	fault, hang, err := f.beginCall(count, write)
	if err != nil {
		return err
	}
	if hang || fault.DropRequest {
		<-ctx.Done()
		return errReplyLost
	}
	done := make(chan struct{})
	work := func() {
		time.Sleep(fault.RequestDelay)
		run()
		time.Sleep(fault.ReplyDelay)
		close(done)
	}
	if fault.RequestDelay+fault.ReplyDelay == 0 {
		work()
	} else {
		go work()
	}
	select {
	case <-done:
	case <-ctx.Done():
		return errReplyLost
	}
	if fault.DropReply {
		<-ctx.Done()
		return errReplyLost
	}
	return nil
}
