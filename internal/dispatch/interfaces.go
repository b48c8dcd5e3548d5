// Package dispatch is the entry daemon's side of a request: it asks a scheduler for a slot, sends
// the attempt to the endpoint, relays the answer, and resumes or reruns it after a failure.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// Scheduler gives slots on endpoints. Package scheduler implements it.
type Scheduler interface {
	// Acquire waits for a slot on an endpoint of the pool. It fails with *ShedError when the
	// request is refused, and with the context's error when the caller is gone; then no slot is held.
	Acquire(ctx context.Context, pool string, a *peer.Acquire) (Slot, error)
}

// Slot is the right to run one attempt on an endpoint.
type Slot interface {
	// Endpoint is the endpoint's id.
	Endpoint() string
	// StartBy is the time until which the attempt may be started.
	StartBy() time.Time
	// Preempted is closed when the scheduler takes the slot back.
	Preempted() <-chan struct{}
	// Progress reports the tokens so far; firstToken is zero until there is one.
	Progress(tokens int, firstToken time.Duration)
	// Finish returns the slot. It must be called once.
	Finish(outcome peer.Outcome, tokens int, firstToken, duration time.Duration)
}

// ShedError says that a scheduler refused a request before any byte was sent.
type ShedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *ShedError) Error() string {
	return fmt.Sprintf("request not run: %s; retry after %s", e.Reason, e.RetryAfter)
}

// Ledger reads and changes at-most-once records. Package ledger implements it: it finds the
// partition's owner and calls it. An error means that nothing was recorded; a write whose outcome
// is unknown is a reply with RESULT_UNKNOWN.
type Ledger interface {
	Do(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error)
}

// Announcer tells all members about suspects of an endpoint crash. It returns when all reachable
// members have acknowledged or after a short timeout.
type Announcer interface {
	Announce(ctx context.Context, req *peer.AnnounceRequest) error
}
