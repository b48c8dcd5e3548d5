package scheduler

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// callState is the state of a call.
type callState uint8

// States of a call, in the order in which it passes through them; placeAll sorts by it.
const (
	callWaiting callState = iota
	callGranted
	callDone
)

// call is the entry daemon's state of one attempt of a request, from Acquire to Finish.
type call struct {
	client  *Client
	id      policy.AttemptID
	pool    string
	acquire *peer.Acquire
	arrival time.Time
	// deadline is zero if the request has none.
	deadline time.Time
	// result receives nil for a grant, else the error.
	result chan error
	// preempted is closed when the scheduler preempts the attempt.
	preempted chan struct{}

	tokens atomic.Int64
	// firstToken is the time to the first token in nanoseconds, zero before it.
	firstToken atomic.Int64

	// The following fields are guarded by Client.mu.
	state callState
	// candidates holds the shards at which the call can be placed, the preferred one first.
	candidates []string
	// firstShed is the error of the candidate that shed the call first; nil if none has.
	firstShed *dispatch.ShedError
	shard     string
	// link is the link on which the call is registered, or nil.
	link *link
	// registeredShard is the shard for which the call is registered on the link.
	registeredShard string
	// registeredBefore is true once the call has been registered with any scheduler.
	registeredBefore bool
	// lastServedAt is when the call last had a responsive scheduler.
	lastServedAt time.Time
	// endpoint and startBy are those of the grant: the attempt must start there before startBy. They do not
	// change after the grant, so Endpoint and StartBy read them without the lock.
	endpoint string
	startBy  time.Time
	// reportedTokens is the token count in the last Progress.
	reportedTokens  int64
	preemptSignaled bool
}

var _ dispatch.Slot = (*call)(nil)

func newCall(c *Client, pool string, a *peer.Acquire) *call {
	now := time.Now()
	k := &call{
		client: c, id: attemptID(a.Attempt), pool: pool, acquire: proto.Clone(a).(*peer.Acquire),
		arrival: now.Add(-fromMicros(a.WaitedUs)), lastServedAt: now,
		result: make(chan error, 1), preempted: make(chan struct{}),
	}
	if a.RemainingUs > 0 {
		k.deadline = now.Add(fromMicros(a.RemainingUs))
	}
	return k
}

// Endpoint implements dispatch.Slot.
func (k *call) Endpoint() string { return k.endpoint }

// StartBy implements dispatch.Slot.
func (k *call) StartBy() time.Time { return k.startBy }

// Preempted implements dispatch.Slot.
func (k *call) Preempted() <-chan struct{} { return k.preempted }

// Progress implements dispatch.Slot. It is called for each token and takes no lock.
func (k *call) Progress(tokens int, firstToken time.Duration) {
	k.tokens.Store(int64(tokens))
	if firstToken > 0 {
		k.firstToken.Store(int64(firstToken))
	}
}

// Finish implements dispatch.Slot.
func (k *call) Finish(outcome peer.Outcome, tokens int, firstToken, duration time.Duration) {
	k.Progress(tokens, firstToken)
	c := k.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.state != callGranted {
		return
	}
	// Without a link there is no one to notify: the scheduler cancels the attempt after the stream ends.
	if k.link != nil {
		k.link.out.put(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Finish{Finish: &peer.Finish{
			Attempt: wireAttempt(k.id), Outcome: outcome, Tokens: uint32(tokens),
			FirstTokenUs: uint64(firstToken.Microseconds()), DurationUs: uint64(duration.Microseconds()),
		}}})
	}
	c.removeCall(k)
}

// registration returns the message that registers the call with a scheduler: an Acquire if the call is
// waiting, a Resume if it is granted. Client.mu is held.
func (k *call) registration() *peer.ScheduleRequest {
	a := proto.Clone(k.acquire).(*peer.Acquire)
	a.Shard = k.shard
	now := time.Now()
	a.WaitedUs = uint64(max(0, now.Sub(k.arrival)).Microseconds())
	if !k.deadline.IsZero() {
		// At least 1, since 0 means that there is no deadline.
		a.RemainingUs = uint64(max(1, k.deadline.Sub(now).Microseconds()))
	}
	if k.state == callWaiting {
		return &peer.ScheduleRequest{Message: &peer.ScheduleRequest_Acquire{Acquire: a}}
	}
	return &peer.ScheduleRequest{Message: &peer.ScheduleRequest_Resume{Resume: &peer.Resume{
		Acquire: a, Endpoint: k.endpoint, Tokens: uint32(k.tokens.Load()),
	}}}
}

// progress returns a Progress with the call's token count, or nil if the count has not changed since the
// last one or the call is not granted. Client.mu is held.
func (k *call) progress() *peer.Progress {
	tokens := k.tokens.Load()
	if k.state != callGranted || tokens == k.reportedTokens {
		return nil
	}
	k.reportedTokens = tokens
	return &peer.Progress{
		Attempt: wireAttempt(k.id), Tokens: uint32(tokens),
		FirstTokenUs: uint64(time.Duration(k.firstToken.Load()).Microseconds()),
	}
}
