package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/platform"
)

const (
	auditPrefix = "audit/config/"
	// keySequence holds the number of the next audit entry.
	keySequence = "audit/config-next"
	// keptEntries is the number of audit entries that are kept.
	keptEntries = 1000
	// maxPending bounds the audit entries that wait for the service.
	maxPending = 256
	// auditTries bounds the tries to write an entry while others write theirs.
	auditTries = 8
	// auditTimeout bounds the time in which a change waits for its entry.
	auditTimeout = 2 * time.Second
)

// Entry is one record of the audit trail.
type Entry struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	// Address is where the request came from.
	Address      string       `json:"address"`
	Action       string       `json:"action"`
	Attempt      string       `json:"attempt"`
	Outcome      Outcome      `json:"outcome"`
	Reason       string       `json:"reason,omitempty"`
	FromRevision uint64       `json:"from_revision"`
	ToRevision   uint64       `json:"to_revision,omitempty"`
	FromPreset   string       `json:"from_preset,omitempty"`
	ToPreset     string       `json:"to_preset,omitempty"`
	Changes      []ItemChange `json:"changes,omitempty"`

	// headModified is the head's modification revision that the change was conditional on.
	headModified int64
}

// sequence is the position of the audit trail.
type sequence struct {
	next     uint64
	modified int64
}

func entryKey(n uint64) string { return fmt.Sprintf("%s%016d", auditPrefix, n) }

// append returns a transaction that adds an entry and removes the oldest one.
func (q sequence) append(e *Entry) platform.Txn {
	e.Sequence = q.next
	raw, err := json.Marshal(e)
	if err != nil {
		raw = []byte(strconv.Quote(err.Error()))
	}
	ops := []platform.Op{
		{Key: entryKey(q.next), Value: raw},
		{Key: keySequence, Value: strconv.AppendUint(nil, q.next+1, 10)},
	}
	if q.next > keptEntries {
		ops = append(ops, platform.Op{Key: entryKey(q.next - keptEntries), Delete: true})
	}
	return platform.Txn{
		If:   []platform.Compare{{Key: keySequence, Target: platform.CompareModRevision, Revision: q.modified}},
		Then: ops,
	}
}

func (s *Store) readSequence(ctx context.Context) (sequence, error) {
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: keySequence})
	if err != nil {
		return sequence{}, oops.With("step", "read audit trail").Wrap(err)
	}
	if len(reply.KVs) == 0 {
		return sequence{next: 1}, nil
	}
	next, err := strconv.ParseUint(string(reply.KVs[0].Value), 10, 64)
	return sequence{next, reply.KVs[0].ModRevision}, err
}

// audit writes an entry of a change that made no revision, now or when the service is back.
func (s *Store) audit(ctx context.Context, e Entry) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	if s.writeEntry(ctx, e) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		s.pending = s.pending[1:]
		s.counters.auditDropped.Inc(1)
	}
	s.pending = append(s.pending, e)
}

// writeEntry adds an entry to the trail. After a lost reply it looks whether the entry is there.
func (s *Store) writeEntry(ctx context.Context, e Entry) error {
	for range auditTries {
		q, err := s.readSequence(ctx)
		if err != nil {
			return err
		}
		if e.Sequence != 0 {
			// An earlier try may have taken effect under this number.
			if there, err := s.hasEntry(ctx, e); there || err != nil {
				return err
			}
		}
		txn := q.append(&e)
		reply, err := s.KV.Txn(ctx, txn)
		if err == nil && reply.Succeeded {
			return nil
		}
		if err == nil {
			e.Sequence = 0
		} else if !errors.Is(err, platform.ErrUnknown) {
			return err
		}
	}
	return errors.New("audit trail is busy")
}

func (s *Store) hasEntry(ctx context.Context, e Entry) (bool, error) {
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: entryKey(e.Sequence)})
	if err != nil || len(reply.KVs) == 0 {
		return false, err
	}
	var have Entry
	err = json.Unmarshal(reply.KVs[0].Value, &have)
	return have.Attempt == e.Attempt && have.Outcome == e.Outcome, err
}

// Audit returns up to limit entries, the newest first.
func (s *Store) Audit(ctx context.Context, limit int) ([]Entry, error) {
	q, err := s.readSequence(ctx)
	if err != nil {
		return nil, err
	}
	limit = min(max(limit, 1), keptEntries)
	r := platform.RangeRequest{Key: auditPrefix, Prefix: true}
	if q.next > uint64(limit) {
		r.After = entryKey(q.next - uint64(limit) - 1)
	}
	reply, err := s.KV.Range(ctx, r)
	if err != nil {
		return nil, oops.With("step", "read audit trail").Wrap(err)
	}
	entries := make([]Entry, 0, len(reply.KVs))
	for i := len(reply.KVs) - 1; i >= 0 && len(entries) < limit; i-- {
		var e Entry
		if err := json.Unmarshal(reply.KVs[i].Value, &e); err != nil {
			return nil, oops.With("key", reply.KVs[i].Key).Wrap(err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// History returns up to limit accepted changes, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	all, err := s.Audit(ctx, keptEntries)
	if err != nil {
		return nil, err
	}
	var accepted []Entry
	for _, e := range all {
		if e.Outcome == Accepted && e.ToRevision > 0 && len(accepted) < limit {
			accepted = append(accepted, e)
		}
	}
	return accepted, nil
}
