package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/platform"
)

const (
	// settleRetry is the time between tries to settle while the service does not answer.
	settleRetry = 200 * time.Millisecond
	// maxOpen bounds the attempts that are settled in the background.
	maxOpen = 256
	// inFlightLimit is the time after which a change is no longer under way in any daemon.
	inFlightLimit = time.Minute
)

func (s *Store) addOpen(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, e)
	if len(s.open) > maxOpen {
		s.open = s.open[1:]
	}
}

// settleNow settles a lost reply within settleLimit, even if the operator has gone meanwhile.
func (s *Store) settleNow(ctx context.Context, e Entry) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	for {
		r, err := s.settle(ctx, e)
		if err == nil {
			return r
		}
		select {
		case <-ctx.Done():
			return Result{Outcome: Unknown, Reason: err.Error()}
		case <-time.After(settleRetry):
		}
	}
}

// settle finds out whether an attempt took effect. When it has not yet, a write that only raises
// the head's modification revision makes sure that it never will.
func (s *Store) settle(ctx context.Context, e Entry) (Result, error) {
	st, err := s.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if st.modified == e.headModified {
		if err := s.fence(ctx, st); err != nil {
			return Result{}, err
		}
		if st, err = s.readHead(ctx); err != nil {
			return Result{}, err
		}
		if st.modified == e.headModified {
			return Result{}, errors.New("the fencing write is not confirmed")
		}
	}
	if revision, ok := st.head.accepted(e.Attempt); ok {
		s.refreshNow(ctx)
		return Result{Attempt: e.Attempt, Outcome: Accepted, Revision: revision}, nil
	}
	if st.head.Revision > e.FromRevision+keptAttempts {
		// The head no longer lists attempts of that time; the audit trail does.
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

// refreshNow fetches a change whose reply was lost, so that this daemon need not wait for it.
func (s *Store) refreshNow(ctx context.Context) {
	if err := s.Refresh(ctx); err != nil {
		s.Log.Debug("configuration not refreshed", "error", err)
	}
	s.assemble()
}

func (s *Store) readHead(ctx context.Context) (*state, error) {
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: keyHead})
	if err != nil {
		return nil, oops.With("step", "read configuration head").Wrap(err)
	}
	st := &state{}
	st.head, st.raw, st.modified, err = decodeHead(reply.KVs)
	return st, err
}

// fence writes the head again. It has an effect only while nothing else has changed it.
func (s *Store) fence(ctx context.Context, st *state) error {
	raw := st.raw
	if raw == nil {
		var err error
		if raw, err = json.Marshal(head{}); err != nil {
			return err
		}
	}
	_, err := s.KV.Txn(ctx, platform.Txn{
		If:   []platform.Compare{{Key: keyHead, Target: platform.CompareModRevision, Revision: st.modified}},
		Then: []platform.Op{{Key: keyHead, Value: raw}},
	})
	if err != nil {
		return oops.With("step", "fence configuration head").Wrap(err)
	}
	return nil
}

// findEntry returns the entry that tells most about an attempt: the one of its transaction, else
// the newest one.
func (s *Store) findEntry(ctx context.Context, attempt string) (Entry, bool, error) {
	entries, err := s.Audit(ctx, keptEntries)
	var found Entry
	for _, e := range entries {
		if e.Attempt == attempt && (found.Sequence == 0 || e.ToRevision > 0) {
			found = e
		}
	}
	return found, found.Sequence > 0, err
}

// ErrAttemptID means that a text is not an attempt id.
var ErrAttemptID = errors.New("malformed attempt id")

// Attempt says what became of a change. It settles one whose outcome is not known yet.
func (s *Store) Attempt(ctx context.Context, attempt string) (Result, error) {
	started, ok := attemptTime(attempt)
	if !ok {
		return Result{}, ErrAttemptID
	}
	s.mu.Lock()
	for _, o := range s.open {
		if o.Attempt == attempt {
			s.mu.Unlock()
			return s.settle(ctx, o)
		}
	}
	s.mu.Unlock()
	st, err := s.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if revision, ok := st.head.accepted(attempt); ok {
		return Result{Attempt: attempt, Outcome: Accepted, Revision: revision}, nil
	}
	found, ok, err := s.findEntry(ctx, attempt)
	if err != nil {
		return Result{}, err
	}
	if ok && found.Outcome != Unknown {
		return Result{Attempt: attempt, Outcome: found.Outcome, Revision: found.ToRevision, Reason: found.Reason}, nil
	}
	if time.Since(started) < inFlightLimit {
		return Result{Attempt: attempt, Outcome: Unknown, Reason: "the change may still be under way"}, nil
	}
	// Its daemon has gone without leaving a final entry: it can only be a write on an older head.
	return s.settle(ctx, Entry{Attempt: attempt, FromRevision: st.head.Revision, headModified: st.modified})
}

func attemptTime(attempt string) (time.Time, bool) {
	stamp, _, ok := strings.Cut(attempt, "-")
	ms, err := strconv.ParseInt(stamp, 16, 64)
	return time.UnixMilli(ms), ok && err == nil
}

// runPending writes the audit entries that are left and then settles open attempts, so that an
// entry of an unknown outcome comes before the final one.
func (s *Store) runPending(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for s.workOne(ctx) {
		}
	}
}

func (s *Store) workOne(ctx context.Context) bool {
	s.mu.Lock()
	pending := len(s.pending)
	s.mu.Unlock()
	if pending > 0 {
		return s.writePending(ctx)
	}
	return s.settleOne(ctx)
}

// settleOne settles the oldest open attempt. It returns false when there is none or it fails.
func (s *Store) settleOne(ctx context.Context) bool {
	s.mu.Lock()
	if len(s.open) == 0 {
		s.mu.Unlock()
		return false
	}
	first := s.open[0]
	s.mu.Unlock()
	r, err := s.settle(ctx, first)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.open = removeFirst(s.open, func(o Entry) bool { return o.Attempt == first.Attempt })
	s.mu.Unlock()
	s.Log.Info("configuration change settled", "attempt", first.Attempt, "outcome", r.Outcome)
	first.Time, first.Sequence, first.Outcome, first.Reason = time.Now().UTC(), 0, r.Outcome, r.Reason
	if r.Outcome == Accepted {
		first.Reason = "settled after a lost reply"
	}
	s.audit(ctx, first)
	return true
}

// writePending writes the oldest pending audit entry. It returns false when there is none or it fails.
func (s *Store) writePending(ctx context.Context) bool {
	s.mu.Lock()
	if len(s.pending) == 0 {
		s.mu.Unlock()
		return false
	}
	first := s.pending[0]
	s.mu.Unlock()
	if s.writeEntry(ctx, first) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = removeFirst(s.pending, func(e Entry) bool {
		return e.Attempt == first.Attempt && e.Outcome == first.Outcome
	})
	return true
}

// removeFirst returns the list without the first element that matches.
func removeFirst[T any](list []T, matches func(T) bool) []T {
	for i, v := range list {
		if matches(v) {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
