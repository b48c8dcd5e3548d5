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
	// auditPrefix is the key prefix of the audit entries.
	auditPrefix = "audit/config/"
	// keyNextAuditEntry is the key of the sequence number for the next audit entry.
	keyNextAuditEntry = "audit/config-next"
	// maxAuditEntries is the number of audit entries that are retained.
	maxAuditEntries = 1000
	// maxPendingAudit is the number of unwritten audit entries that are held in memory while the
	// service is unavailable.
	maxPendingAudit = 256
	// maxAuditTries is the number of tries to append an entry when other daemons append concurrently or
	// replies are lost.
	maxAuditTries = 8
	// auditTimeout is the longest time that a change waits until its audit entry is written.
	auditTimeout = 2 * time.Second
)

// Entry is one record of the audit trail.
type Entry struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	// Address is the network address from which the request came.
	Address      string  `json:"address"`
	Action       string  `json:"action"`
	Attempt      string  `json:"attempt"`
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason,omitempty"`
	FromRevision uint64  `json:"from_revision"`
	// ToRevision is the revision that the change created. Only the entry in the change's own transaction
	// has it, not the final entry of an attempt that was resolved later.
	ToRevision uint64       `json:"to_revision,omitempty"`
	FromPreset string       `json:"from_preset,omitempty"`
	ToPreset   string       `json:"to_preset,omitempty"`
	Changes    []ItemChange `json:"changes,omitempty"`

	// headModRevision is the modification revision of the head on which the change was conditional.
	headModRevision int64
}

// auditPosition is the end of the audit trail: the next sequence number and the modification revision of
// the key that holds it.
type auditPosition struct {
	next        uint64
	modRevision int64
}

func auditEntryKey(n uint64) string { return fmt.Sprintf("%s%016d", auditPrefix, n) }

// appendTxn sets the sequence number of e and returns a transaction that appends it and removes the entry
// that then exceeds maxAuditEntries. The transaction fails if another entry was appended meanwhile.
func (p auditPosition) appendTxn(e *Entry) platform.Txn {
	e.Sequence = p.next
	raw, err := json.Marshal(e)
	if err != nil {
		raw = []byte(strconv.Quote(err.Error()))
	}
	ops := []platform.Op{
		{Key: auditEntryKey(p.next), Value: raw},
		{Key: keyNextAuditEntry, Value: strconv.AppendUint(nil, p.next+1, 10)},
	}
	if p.next > maxAuditEntries {
		ops = append(ops, platform.Op{Key: auditEntryKey(p.next - maxAuditEntries), Delete: true})
	}
	return platform.Txn{
		If:   []platform.Compare{{Key: keyNextAuditEntry, Target: platform.CompareModRevision, Revision: p.modRevision}},
		Then: ops,
	}
}

func (s *Store) readAuditPosition(ctx context.Context) (auditPosition, error) {
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: keyNextAuditEntry})
	if err != nil {
		return auditPosition{}, oops.With("step", "read audit trail").Wrap(err)
	}
	if len(reply.KVs) == 0 {
		return auditPosition{next: 1}, nil
	}
	next, err := strconv.ParseUint(string(reply.KVs[0].Value), 10, 64)
	return auditPosition{next, reply.KVs[0].ModRevision}, err
}

// audit writes an entry that is not part of a change's transaction: that of a change that was not accepted,
// or the final one of an attempt that was resolved later. If that fails, the entry is queued and written when
// the service is available again; the oldest queued entry is dropped when the queue is full.
func (s *Store) audit(ctx context.Context, e Entry) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	if s.writeEntry(ctx, &e) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingAudit) >= maxPendingAudit {
		s.pendingAudit = s.pendingAudit[1:]
		s.counters.auditDropped.Inc(1)
	}
	s.pendingAudit = append(s.pendingAudit, e)
}

// writeEntry appends an entry to the audit trail. It records the sequence number of each try in e, under which an
// earlier try whose reply was lost, also one of an earlier call, may have written the entry.
func (s *Store) writeEntry(ctx context.Context, e *Entry) error {
	for range maxAuditTries {
		position, err := s.readAuditPosition(ctx)
		if err != nil {
			return err
		}
		if e.Sequence != 0 {
			if exists, err := s.hasEntry(ctx, *e); exists || err != nil {
				return err
			}
		}
		reply, err := s.KV.Txn(ctx, position.appendTxn(e))
		if err == nil && reply.Succeeded {
			return nil
		}
		if err != nil && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
	}
	return errors.New("cannot append the audit entry: too many concurrent writers or lost replies")
}

// hasEntry reports whether e is in the audit trail under its sequence number.
func (s *Store) hasEntry(ctx context.Context, e Entry) (bool, error) {
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: auditEntryKey(e.Sequence)})
	if err != nil || len(reply.KVs) == 0 {
		return false, err
	}
	var have Entry
	err = json.Unmarshal(reply.KVs[0].Value, &have)
	return have.Attempt == e.Attempt && have.Outcome == e.Outcome, err
}

// Audit returns up to limit audit entries, newest first.
func (s *Store) Audit(ctx context.Context, limit int) ([]Entry, error) {
	position, err := s.readAuditPosition(ctx)
	if err != nil {
		return nil, err
	}
	limit = min(max(limit, 1), maxAuditEntries)
	r := platform.RangeRequest{Key: auditPrefix, Prefix: true}
	if position.next > uint64(limit) {
		r.After = auditEntryKey(position.next - uint64(limit) - 1)
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

// History returns the audit entries of up to limit accepted changes, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	all, err := s.Audit(ctx, maxAuditEntries)
	if err != nil {
		return nil, err
	}
	var accepted []Entry
	for _, e := range all {
		// Entries without ToRevision repeat the outcome of an attempt that was resolved later.
		if e.Outcome == Accepted && e.ToRevision > 0 && len(accepted) < limit {
			accepted = append(accepted, e)
		}
	}
	return accepted, nil
}
