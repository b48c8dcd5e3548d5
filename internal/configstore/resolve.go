package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/platform"
)

const (
	// resolveRetryInterval is the time between tries to resolve an attempt while the service does not
	// answer.
	resolveRetryInterval = 200 * time.Millisecond
	// maxUnresolved is the number of attempts with unknown outcome that are held in memory and resolved
	// in the background.
	maxUnresolved = 256
	// commitTimeout is the time limit for committing a change, and maxChangeDuration the age from which a change is no
	// longer in progress on any daemon: commitTimeout and resolveTimeout have passed by then.
	commitTimeout     = 30 * time.Second
	maxChangeDuration = time.Minute
)

// addUnresolved queues an attempt with unknown outcome. The oldest one is dropped when the queue is full.
func (s *Store) addUnresolved(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresolved = append(s.unresolved, e)
	if len(s.unresolved) > maxUnresolved {
		s.unresolved = s.unresolved[1:]
	}
}

// resolveLostReply determines the outcome of a change whose reply was lost, within resolveTimeout. It
// continues if ctx is cancelled, for example because the operator has disconnected.
func (s *Store) resolveLostReply(ctx context.Context, e Entry) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	for {
		r, err := s.resolve(ctx, e)
		if err == nil {
			return r
		}
		select {
		case <-ctx.Done():
			return Result{Outcome: Unknown, Reason: err.Error()}
		case <-time.After(resolveRetryInterval):
		}
	}
}

// resolve determines whether an attempt was committed. If the head is unchanged since the attempt, its
// transaction may still be in flight; a fencing write, which only raises the modification revision of the
// head, makes sure that the transaction can no longer be committed.
func (s *Store) resolve(ctx context.Context, e Entry) (Result, error) {
	st, err := s.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if st.modRevision == e.headModRevision {
		if err := s.writeFence(ctx, st); err != nil {
			return Result{}, err
		}
		if st, err = s.readHead(ctx); err != nil {
			return Result{}, err
		}
		if st.modRevision == e.headModRevision {
			return Result{}, errors.New("the fencing write is not confirmed")
		}
	}
	if revision, ok := st.head.acceptedRevision(e.Attempt); ok {
		s.refreshAndAssemble(ctx)
		return Result{Attempt: e.Attempt, Outcome: Accepted, Revision: revision}, nil
	}
	if st.head.Revision > e.FromRevision+maxHeadAttempts {
		// The head may have dropped the attempt from its list; the audit trail goes back further.
		found, ok, err := s.findEntry(ctx, e.Attempt)
		if err != nil {
			return Result{}, err
		}
		if ok && found.Outcome == Accepted {
			return Result{Attempt: e.Attempt, Outcome: Accepted, Revision: found.ToRevision}, nil
		}
	}
	return Result{Attempt: e.Attempt, Outcome: Rejected, Reason: "the key-value service did not answer in time; the change had no effect"}, nil
}

// refreshAndAssemble reads the configuration from the service and activates it at once, without waiting for
// Run or for the documents that a watcher publishes. If the read fails, it only logs the error.
func (s *Store) refreshAndAssemble(ctx context.Context) {
	if err := s.Refresh(ctx); err != nil {
		s.Log.Debug("cannot refresh the configuration", "error", err)
	}
	s.assemble()
}

// readHead reads the head without the parts.
func (s *Store) readHead(ctx context.Context) (*storedState, error) {
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: keyHead})
	if err != nil {
		return nil, oops.With("step", "read configuration head").Wrap(err)
	}
	st := &storedState{}
	st.head, st.rawHead, st.modRevision, err = decodeHead(reply.KVs)
	return st, err
}

// writeFence rewrites the head with the same content, if it has not changed since st was read. This raises
// its modification revision, so that pending transactions conditional on the old one fail.
func (s *Store) writeFence(ctx context.Context, st *storedState) error {
	raw := st.rawHead
	if raw == nil {
		var err error
		if raw, err = json.Marshal(head{}); err != nil {
			return err
		}
	}
	_, err := s.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{{Key: keyHead, Target: platform.CompareModRevision, Revision: st.modRevision}},
		Then: []platform.Op{{Key: keyHead, Value: raw}},
	})
	if err != nil {
		return oops.With("step", "fence configuration head").Wrap(err)
	}
	return nil
}

// findEntry returns the audit entry that determines the outcome of an attempt: the one that the change's
// transaction wrote, else the newest one.
func (s *Store) findEntry(ctx context.Context, attempt string) (Entry, bool, error) {
	entries, err := s.Audit(ctx, maxAuditEntries)
	var found Entry
	for _, e := range entries {
		if e.Attempt == attempt && (found.Sequence == 0 || e.ToRevision > 0) {
			found = e
		}
	}
	return found, found.Sequence > 0, err
}

// ErrMalformedAttemptID is returned for an attempt ID that is malformed.
var ErrMalformedAttemptID = errors.New("malformed attempt id")

// Attempt returns the outcome of the change with an attempt ID. It resolves an outcome that is still
// unknown; the outcome stays Unknown while the change may still be in progress on another daemon. The
// error is ErrMalformedAttemptID for a malformed ID. Any other error means that the outcome could not be
// determined: the key-value service failed, stored data cannot be decoded, or the fencing write is not
// confirmed.
func (s *Store) Attempt(ctx context.Context, attempt string) (Result, error) {
	started, ok := attemptTime(attempt)
	if !ok {
		return Result{}, ErrMalformedAttemptID
	}
	s.mu.Lock()
	for _, o := range s.unresolved {
		if o.Attempt == attempt {
			s.mu.Unlock()
			return s.resolve(ctx, o)
		}
	}
	s.mu.Unlock()
	st, err := s.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if revision, ok := st.head.acceptedRevision(attempt); ok {
		return Result{Attempt: attempt, Outcome: Accepted, Revision: revision}, nil
	}
	found, ok, err := s.findEntry(ctx, attempt)
	if err != nil {
		return Result{}, err
	}
	if ok && found.Outcome != Unknown {
		return Result{Attempt: attempt, Outcome: found.Outcome, Revision: found.ToRevision, Reason: found.Reason}, nil
	}
	if time.Since(started) < maxChangeDuration {
		return Result{Attempt: attempt, Outcome: Unknown, Reason: "the change may still be under way"}, nil
	}
	// The audit trail has no final entry, for example because the daemon that made the change has stopped. If
	// the change's transaction is still in flight, it is conditional on the head just read or on an older one,
	// so the fencing write of resolve makes it fail.
	return s.resolve(ctx, Entry{Attempt: attempt, FromRevision: st.head.Revision, headModRevision: st.modRevision})
}

// attemptTime returns the time at which an attempt ID was created.
func attemptTime(attempt string) (time.Time, bool) {
	stamp, _, ok := strings.Cut(attempt, "-")
	ms, err := strconv.ParseInt(stamp, 16, 64)
	return time.UnixMilli(ms), ok && err == nil
}

// runBackgroundWork writes pending audit entries and resolves attempts with unknown outcome until ctx
// ends. Pending entries are written first, so that the entry with the unknown outcome precedes the final
// one.
func (s *Store) runBackgroundWork(ctx context.Context) {
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for s.processOne(ctx) {
		}
	}
}

// processOne writes one pending audit entry or, if there is none, resolves one attempt. It returns false
// if there is nothing to do or if that fails.
func (s *Store) processOne(ctx context.Context) bool {
	s.mu.Lock()
	pending := len(s.pendingAudit)
	s.mu.Unlock()
	if pending > 0 {
		return s.writeOldestPending(ctx)
	}
	return s.resolveOldest(ctx)
}

// resolveOldest resolves the oldest attempt with unknown outcome and writes its final audit entry. It
// returns false if there is none or if the attempt cannot be resolved.
func (s *Store) resolveOldest(ctx context.Context) bool {
	s.mu.Lock()
	if len(s.unresolved) == 0 {
		s.mu.Unlock()
		return false
	}
	entry := s.unresolved[0]
	s.mu.Unlock()
	r, err := s.resolve(ctx, entry)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.unresolved = removeFirst(s.unresolved, func(o Entry) bool { return o.Attempt == entry.Attempt })
	s.mu.Unlock()
	s.Log.Info("resolved the outcome of a configuration change", "attempt", entry.Attempt, "outcome", r.Outcome)
	entry.Time, entry.Sequence, entry.Outcome, entry.Reason = time.Now().UTC(), 0, r.Outcome, r.Reason
	if r.Outcome == Accepted {
		entry.Reason = "settled after a lost reply"
	}
	s.audit(ctx, entry)
	return true
}

// writeOldestPending writes the oldest pending audit entry. It returns false if there is none or if the
// write fails.
func (s *Store) writeOldestPending(ctx context.Context) bool {
	s.mu.Lock()
	if len(s.pendingAudit) == 0 {
		s.mu.Unlock()
		return false
	}
	entry := s.pendingAudit[0]
	s.mu.Unlock()
	err := s.writeEntry(ctx, &entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	same := func(e Entry) bool { return e.Attempt == entry.Attempt && e.Outcome == entry.Outcome }
	if err == nil {
		s.pendingAudit = removeFirst(s.pendingAudit, same)
	} else if i := slices.IndexFunc(s.pendingAudit, same); i >= 0 {
		// The next try must know the sequence number under which this one may have written the entry.
		s.pendingAudit[i].Sequence = entry.Sequence
	}
	return err == nil
}

// removeFirst returns a copy of the list without the first element that matches, or the list itself if none
// matches.
func removeFirst[T any](list []T, matches func(T) bool) []T {
	for i, v := range list {
		if matches(v) {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
