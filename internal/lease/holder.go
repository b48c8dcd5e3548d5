package lease

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/platform"
)

// HeldRole is a role held under a session's lease.
type HeldRole struct {
	session *Session
	role    string
	leaseID platform.LeaseID
	token   int64
	// released is guarded by session.mu.
	released bool
}

func (h *HeldRole) Role() string { return h.role }

// Token returns the fencing token. It is greater than that of every earlier holder of the role.
func (h *HeldRole) Token() int64 { return h.token }

// Valid reports whether the role is certainly held at time now. It must be checked immediately
// before each operation that needs the role.
func (h *HeldRole) Valid(now time.Time) bool {
	h.session.mu.Lock()
	defer h.session.mu.Unlock()
	return !h.released && h.session.leaseValid(h.leaseID, now)
}

// Lost reports whether the role was released or its lease is gone, so that it cannot become valid again.
func (h *HeldRole) Lost() bool {
	h.session.mu.Lock()
	defer h.session.mu.Unlock()
	return h.released || h.session.id != h.leaseID
}

// ValidUntil returns the time at which the session's current lease becomes invalid unless it is renewed. The
// result does not apply to a role that is lost.
func (h *HeldRole) ValidUntil() time.Time {
	h.session.mu.Lock()
	defer h.session.mu.Unlock()
	return h.session.validFrom.Add(h.session.validFor)
}

// Fence returns the transaction condition that holds only while this is the role's current holder.
func (h *HeldRole) Fence() platform.Compare {
	return fence(h.role, h.token)
}

// fence compares the modification revision, which equals the creation revision because a role's key is never written
// again. Not every service can compare the latter.
func fence(role string, token int64) platform.Compare {
	return platform.Compare{Key: Key(role), Target: platform.CompareModRevision, Revision: token}
}

// Release releases the role, which is invalid from the start of the call on. If the store does not
// reply, the error says so and Session.Run completes the release.
func (h *HeldRole) Release(ctx context.Context) error {
	s := h.session
	s.mu.Lock()
	if h.released || s.id != h.leaseID {
		h.released = true
		s.mu.Unlock()
		return nil
	}
	h.released = true
	delete(s.tokens, h.role)
	s.orphans[h.role] = orphan{token: h.token}
	s.mu.Unlock()
	if err := s.finishRelease(ctx, h.leaseID, h.role); err != nil {
		return oops.With("step", "release").With("role", h.role).Wrap(err)
	}
	return nil
}
