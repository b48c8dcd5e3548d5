// Package duty makes the calls to the platform that one daemon at a time makes for the whole fleet. A Runner holds the
// role, a key in the store under a lease, and runs the tasks while it does.
package duty

import (
	"context"
	"errors"
	"time"

	"github.com/chivewind/chivewind/platform"
)

// ErrNotHolder means that a call was not made because the role is not certainly held.
var ErrNotHolder = errors.New("duty: role not held")

// Holder makes calls of a duty while the role is held.
type Holder interface {
	// Call runs call with a context whose deadline lies within the lease, and with the identity and the fencing token of the
	// holder. It returns ErrNotHolder without running call if the role is not certainly held.
	Call(ctx context.Context, call func(context.Context, platform.DutyHolder) error) error
}

// Task is the work of one duty.
type Task interface {
	Duty() platform.Duty
	// Interval is the time between two calls of Step.
	Interval() time.Duration
	// Step does what is due. One goroutine calls it while the role is held. first is set in the first call of a term.
	Step(ctx context.Context, now time.Time, h Holder, first bool) error
}
