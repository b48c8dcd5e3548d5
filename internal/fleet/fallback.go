package fleet

import (
	"context"
	"errors"

	"github.com/chivewind/chivewind/platform"
)

// maxUnusableReplies is the number of unusable replies to a watch from one revision, one after the other, at which the
// store is listed instead: the next reply would hold the same events and more.
const maxUnusableReplies = 2

// unusableReplies counts the unusable replies to watches from one revision. The zero value has seen none.
type unusableReplies struct {
	revision int64
	count    int
}

// mustList records the end of a watch from a revision and reports whether the store must be listed. A reply that takes too
// long is counted like maxUnusableReplies: a listing is faster than the same reply again. Calls without a reply do not
// count.
func (u *unusableReplies) mustList(revision int64, err error) bool {
	switch {
	case errors.Is(err, platform.ErrReplyTooLong):
		*u = unusableReplies{}
		return true
	case !errors.Is(err, platform.ErrUnusableReply):
		return false
	case revision != u.revision:
		*u = unusableReplies{revision: revision}
	}
	u.count++
	if u.count < maxUnusableReplies {
		return false
	}
	*u = unusableReplies{}
	return true
}

// watchedRevision returns the revision after which this daemon watches the store. The state is complete up to its
// revision. With changes received from other daemons it may be ahead of this daemon's own reads.
func (f *Fleet) watchedRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.readRevision, f.state.Revision())
}

// listAfterUnusableReply lists the store because the reply to a watch from a revision could not be used. If that fails as
// well, the next call is a watch again.
func (f *Fleet) listAfterUnusableReply(ctx context.Context, revision int64, cause error) error {
	f.incCounter("chivewind_store_unusable_replies_total")
	f.opts.Log.Warn("listing the store instead of watching it", "revision", revision, "error", cause)
	return f.listStore(ctx)
}
