package lease

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/platform"
)

// Holder is one role held under a session's lease.
type Holder struct {
	session *Session
	role    string
	lease   platform.LeaseID
	token   int64
	// released is guarded by the session's mutex.
	released bool
}

// Role returns the role's name.
func (h *Holder) Role() string { return h.role }

// Token returns the fencing token. It is higher than that of any earlier holder of the role.
func (h *Holder) Token() int64 { return h.token }

// Valid says whether the role is certainly held at a time. It must be asked immediately before
// each operation that needs the role.
func (h *Holder) Valid(now time.Time) bool {
	h.session.mu.Lock()
	defer h.session.mu.Unlock()
	return !h.released && h.session.current(h.lease, now)
}

// Lost says whether the role can never become valid again.
func (h *Holder) Lost() bool {
	h.session.mu.Lock()
	defer h.session.mu.Unlock()
	return h.released || h.session.id != h.lease
}

// Deadline returns the time at which the validity ends without a further renewal. Commands to
// endpoints carry a deadline before it.
func (h *Holder) Deadline() time.Time {
	h.session.mu.Lock()
	defer h.session.mu.Unlock()
	return h.session.start.Add(h.session.valid)
}

// Fence is the condition under which a write of this holder may take effect.
func (h *Holder) Fence() platform.Compare {
	return fence(h.role, h.token)
}

func fence(role string, token int64) platform.Compare {
	return platform.Compare{Key: Key(role), Target: platform.CompareCreateRevision, Revision: token}
}

// Release gives the role up. The holder is invalid from the start of the call on. If the service
// does not answer, the session releases the role later.
func (h *Holder) Release(ctx context.Context) error {
	s := h.session
	s.mu.Lock()
	if h.released || s.id != h.lease {
		h.released = true
		s.mu.Unlock()
		return nil
	}
	h.released = true
	delete(s.holders, h.role)
	s.leftovers[h.role] = leftover{token: h.token}
	s.mu.Unlock()
	if err := s.finishRelease(ctx, h.lease, h.role); err != nil {
		return oops.With("step", "release").With("role", h.role).Wrap(err)
	}
	return nil
}
