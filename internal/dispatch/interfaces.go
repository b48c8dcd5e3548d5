// Package dispatch runs client requests on the entry daemon, which is the daemon that received the request. It
// acquires a slot from a scheduler, sends the request to the granted endpoint, relays the response, and resumes
// or retries it after a failure.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// Scheduler grants slots on endpoints. Package scheduler implements it.
type Scheduler interface {
	// Acquire waits for a slot on an endpoint of the pool. It returns *ShedError when the request is
	// refused and the context's error when ctx ends first. No slot is held when it returns an error.
	Acquire(ctx context.Context, pool string, a *peer.Acquire) (Slot, error)
}

// Slot permits one attempt on an endpoint.
type Slot interface {
	// Endpoint returns the endpoint's ID.
	Endpoint() string
	// StartBy returns the time by which the attempt must be started.
	StartBy() time.Time
	// Preempted returns a channel that is closed when the scheduler revokes the slot.
	Preempted() <-chan struct{}
	// Progress reports the number of tokens received so far, including those of earlier attempts, and the
	// time from the start of this attempt to its first token, which is zero until it has received one.
	Progress(tokens int, firstToken time.Duration)
	// Finish releases the slot and reports how the attempt ended. tokens includes those of earlier attempts.
	// firstToken, which is zero if there was no token, and duration are measured from the start of this
	// attempt. Finish must be called exactly once.
	Finish(outcome peer.Outcome, tokens int, firstToken, duration time.Duration)
}

// ShedError is returned when an attempt gets no slot, because a scheduler refuses it or no endpoint is left that
// could run it. No byte of that attempt was sent; earlier attempts of the request may have run.
type ShedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *ShedError) Error() string {
	return fmt.Sprintf("request not run: %s; retry after %s", e.Reason, e.RetryAfter)
}

// Ledger reads and updates the records that make non-idempotent requests run at most once. Package
// ledger implements it by forwarding each operation to the owner of the key's partition.
type Ledger interface {
	// Do runs one ledger operation. An error means that nothing was recorded; a write whose outcome is
	// not known returns a reply with RESULT_UNKNOWN and no error.
	Do(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error)
}

// Announcer broadcasts the requests that are suspected of crashing endpoints.
type Announcer interface {
	// Announce sends the suspects to all members. It returns when all reachable members have
	// acknowledged them or after a short timeout.
	Announce(ctx context.Context, req *peer.AnnounceRequest) error
}
