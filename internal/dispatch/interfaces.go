// Package dispatch runs client requests on the entry daemon. It acquires a slot from a scheduler, sends
// the request to the granted endpoint, relays the response, and resumes or retries it after a failure.
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
	// Progress reports the number of tokens received so far and the time to the first token, which is
	// zero until a token has been received.
	Progress(tokens int, firstToken time.Duration)
	// Finish releases the slot. It must be called exactly once.
	Finish(outcome peer.Outcome, tokens int, firstToken, duration time.Duration)
}

// ShedError is returned when a scheduler refuses a request before any byte was sent to an endpoint.
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
