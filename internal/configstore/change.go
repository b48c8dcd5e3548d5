package configstore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/platform"
)

// Actor identifies the operator who makes a change and the address from which the request came.
type Actor struct {
	Name    string
	Address string
}

// Outcome is the outcome of a change.
type Outcome string

// Values of Outcome.
const (
	// Accepted changes are durable and take effect on all daemons.
	Accepted Outcome = "accepted"
	// Conflicting changes were based on a revision that is no longer current, or another operator switched the
	// preset while they were in progress.
	Conflicting Outcome = "conflict"
	// Invalid changes failed validation.
	Invalid Outcome = "invalid"
	// Rejected changes had no effect, because the key-value service did not commit them.
	Rejected Outcome = "rejected"
	// Denied changes were not attempted, because the operator's role does not permit them.
	Denied Outcome = "denied"
	// Unknown changes may have been committed or not; Store.Attempt determines which.
	Unknown Outcome = "unknown"
)

// Result is the result of a change.
type Result struct {
	// Attempt is the attempt ID, with which Store.Attempt finds the outcome later.
	Attempt string  `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	// Revision is the revision that an accepted change created, or the current one in a conflict.
	Revision uint64    `json:"revision,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict holds the current and the proposed version of what a change was meant to replace: the whole
// configuration or one preset. For a preset switch only the current preset is set.
type Conflict struct {
	// ExpectedRevision is the revision on which the operator based the change, CurrentRevision the current
	// one. Both are revisions of the configuration for Store.Apply, else of the preset.
	ExpectedRevision uint64         `json:"seen"`
	CurrentRevision  uint64         `json:"current"`
	ActivePreset     string         `json:"active_preset"`
	CurrentConfig    *config.Config `json:"current_config,omitempty"`
	ProposedConfig   *config.Config `json:"proposed_config,omitempty"`
	CurrentPreset    *config.Preset `json:"current_preset,omitempty"`
	ProposedPreset   *config.Preset `json:"proposed_preset,omitempty"`
}

const (
	// maxCommitTries is the number of tries to commit a change when other daemons write concurrently.
	maxCommitTries = 8
	// resolveTimeout is the time limit to determine the outcome of a change whose reply was lost. After
	// it the outcome is Unknown.
	resolveTimeout = 8 * time.Second
)

// buildFunc returns the new configuration that a change makes from the stored one, or the conflict or
// error that prevents the change.
type buildFunc func(*storedState) (*config.Config, *Conflict, error)

// SwitchPreset activates a preset. expectedRevision is the revision of the preset that the operator saw;
// the change conflicts if the preset has been edited since, or if another operator switches the active
// preset before this change is committed.
func (s *Store) SwitchPreset(ctx context.Context, actor Actor, preset string, expectedRevision uint64) Result {
	initialPreset := ""
	return s.change(ctx, actor, "switch preset", func(st *storedState) (*config.Config, *Conflict, error) {
		p, ok := st.config.FindPreset(preset)
		if !ok {
			return nil, nil, fmt.Errorf("preset %q is not defined", preset)
		}
		if initialPreset == "" {
			initialPreset = st.head.Preset
		}
		// Another operator has switched the active preset during this change, or has edited the preset.
		if st.head.Preset != initialPreset || p.Revision != expectedRevision {
			return nil, &Conflict{
				ExpectedRevision: expectedRevision, CurrentRevision: p.Revision, ActivePreset: st.head.Preset, CurrentPreset: &p,
			}, nil
		}
		c := *st.config
		c.Preset = preset
		return &c, nil, nil
	})
}

// Apply replaces the whole configuration. expectedRevision is the revision that the operator edited, 0
// for the first configuration. If c does not name an active preset, the current one stays active.
func (s *Store) Apply(ctx context.Context, actor Actor, c *config.Config, expectedRevision uint64) Result {
	return s.change(ctx, actor, "apply", func(st *storedState) (*config.Config, *Conflict, error) {
		if st.head.Revision != expectedRevision {
			return nil, &Conflict{
				ExpectedRevision: expectedRevision, CurrentRevision: st.head.Revision, ActivePreset: st.head.Preset,
				CurrentConfig: st.config, ProposedConfig: c,
			}, nil
		}
		n := *c
		if n.Preset == "" {
			n.Preset = st.head.Preset
		}
		n.Presets = setPresetRevisions(c.Presets, st.config, st.nextRevision)
		return &n, nil, nil
	})
}

// ApplyPreset adds or replaces one preset. expectedRevision is the revision of the preset that the
// operator edited, 0 for a new preset.
func (s *Store) ApplyPreset(ctx context.Context, actor Actor, p config.Preset, expectedRevision uint64) Result {
	return s.change(ctx, actor, "apply preset", func(st *storedState) (*config.Config, *Conflict, error) {
		current, ok := st.config.FindPreset(p.Name)
		if current.Revision != expectedRevision {
			conflict := &Conflict{
				ExpectedRevision: expectedRevision, CurrentRevision: current.Revision,
				ActivePreset: st.head.Preset, ProposedPreset: &p,
			}
			if ok {
				conflict.CurrentPreset = &current
			}
			return nil, conflict, nil
		}
		n := *st.config
		n.Presets = nil
		for _, other := range st.config.Presets {
			if other.Name == p.Name {
				other = p
			}
			n.Presets = append(n.Presets, other)
		}
		if !ok {
			n.Presets = append(n.Presets, p)
		}
		n.Presets = setPresetRevisions(n.Presets, st.config, st.nextRevision)
		return &n, nil, nil
	})
}

// change commits one change, counts its outcome and writes its audit entry. The entry of an accepted
// change is part of the change's own transaction.
func (s *Store) change(ctx context.Context, actor Actor, action string, build buildFunc) Result {
	e := Entry{
		Time: time.Now().UTC(), Operator: actor.Name, Address: actor.Address, Action: action,
		Attempt: newAttemptID(),
	}
	r := s.commit(ctx, &e, build)
	r.Attempt = e.Attempt
	e.Outcome, e.Reason = r.Outcome, r.Reason
	switch r.Outcome {
	case Accepted:
		s.counters.accepted.Inc(1)
	case Conflicting:
		s.counters.conflicts.Inc(1)
	case Unknown:
		s.counters.unknown.Inc(1)
	default:
		s.counters.refused.Inc(1)
	}
	if r.Outcome != Accepted {
		e.ToRevision = 0
		s.audit(context.WithoutCancel(ctx), e)
	}
	if r.Outcome == Unknown {
		s.addUnresolved(e)
	}
	s.Log.Info("configuration change", "action", action, "operator", actor.Name, "attempt", e.Attempt,
		"outcome", r.Outcome, "revision", r.Revision, "reason", r.Reason)
	return r
}

// AuditDenied writes the audit entry of a change that the role of an authenticated operator does not
// permit.
func (s *Store) AuditDenied(ctx context.Context, actor Actor, action, reason string) {
	s.counters.refused.Inc(1)
	s.audit(context.WithoutCancel(ctx), Entry{
		Time: time.Now().UTC(), Operator: actor.Name, Address: actor.Address, Action: action,
		Attempt: newAttemptID(), Outcome: Denied, Reason: reason,
	})
}

// commit builds the transaction of a change and commits it. If the transaction's conditions failed because
// of a concurrent writer, it is rebuilt on the new state and tried again, for up to commitTimeout.
func (s *Store) commit(ctx context.Context, e *Entry, build buildFunc) Result {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for range maxCommitTries {
		st, position, err := s.readState(ctx)
		if err != nil {
			return Result{Outcome: Rejected, Reason: err.Error()}
		}
		e.FromRevision, e.FromPreset, e.headModRevision = st.head.Revision, st.head.Preset, st.modRevision
		c, conflict, err := build(st)
		if conflict != nil {
			reason := fmt.Sprintf("revision %d was seen, the current one is %d",
				conflict.ExpectedRevision, conflict.CurrentRevision)
			return Result{Outcome: Conflicting, Revision: st.head.Revision, Reason: reason, Conflict: conflict}
		}
		if err == nil {
			err = s.validate(c, st.nextRevision)
		}
		if err != nil {
			return Result{Outcome: Invalid, Reason: err.Error()}
		}
		txn, next, err := buildTxn(st, c, e, position)
		if err != nil {
			return Result{Outcome: Invalid, Reason: err.Error()}
		}
		if err := ctx.Err(); err != nil {
			return Result{Outcome: Rejected, Reason: err.Error()}
		}
		reply, err := s.KV.Txn(ctx, txn)
		switch {
		case errors.Is(err, platform.ErrNotApplied):
			return Result{Outcome: Rejected, Reason: err.Error()}
		case err != nil:
			return s.resolveLostReply(ctx, *e)
		case reply.Succeeded:
			s.publish(&next.head, next.rawHead, next.parts)
			s.assemble()
			return Result{Outcome: Accepted, Revision: next.head.Revision}
		}
	}
	return Result{Outcome: Rejected, Reason: "too many other changes at the same time"}
}

// validate checks that a configuration is valid and can be indexed.
func (s *Store) validate(c *config.Config, revision uint64) error {
	if s.Validate != nil {
		if err := s.Validate(c); err != nil {
			return err
		}
	}
	_, err := s.Snapshot().Next(revision, c)
	return err
}

// readState reads the stored configuration and the end of the audit trail.
func (s *Store) readState(ctx context.Context) (*storedState, auditPosition, error) {
	position, err := s.readAuditPosition(ctx)
	if err != nil {
		return nil, position, err
	}
	kvs, err := s.readUsingLocalParts(ctx)
	if err != nil {
		return nil, position, err
	}
	st, err := decodeState(kvs)
	if err != nil {
		return nil, position, err
	}
	st.nextRevision = st.head.Revision + 1
	if current := s.Snapshot(); current != nil {
		st.nextRevision = max(st.nextRevision, current.Revision+1)
	}
	st.config, err = st.head.decodeParts(st.parts, s.lastDecoded.Load())
	return st, position, err
}

// readUsingLocalParts returns the head and the parts by key. It reads the head from the service and takes the
// parts from this daemon's replicated documents. If one of them does not match the head, it reads everything
// from the service. If every change of a preset did that, each would read and decode 1.6 MB at 8,500
// workspaces.
func (s *Store) readUsingLocalParts(ctx context.Context) (map[string]platform.KeyValue, error) {
	s.counters.serviceReads.Inc(1)
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: keyHead})
	if err != nil {
		return nil, oops.With("step", "read configuration head").Wrap(err)
	}
	h, _, _, err := decodeHead(reply.KVs)
	if err != nil {
		return nil, err
	}
	kvs := map[string]platform.KeyValue{}
	for _, kv := range reply.KVs {
		kvs[kv.Key] = kv
	}
	for name, ref := range h.Parts {
		have, content := s.Documents.Get(partPrefix + name)
		if have != ref.Revision || digest(content) != ref.Digest {
			all, _, err := s.readAll(ctx)
			return all, err
		}
		kvs[partPrefix+name] = platform.KeyValue{Key: partPrefix + name, Value: content}
	}
	return kvs, nil
}

// buildTxn returns the transaction of a change and the stored state that results from it. It completes
// the audit entry e, which is part of the transaction.
func buildTxn(st *storedState, c *config.Config, e *Entry, position auditPosition) (platform.Txn, *storedState, error) {
	parts, err := encodeParts(c, st)
	if err != nil {
		return platform.Txn{}, nil, err
	}
	next := &storedState{parts: parts, config: c}
	var changed, removed []string
	next.head, changed, removed = st.head.successor(st.nextRevision, c.Preset, e.Attempt, parts)
	if next.rawHead, err = json.Marshal(next.head); err != nil {
		return platform.Txn{}, nil, err
	}
	e.Outcome, e.ToRevision, e.ToPreset = Accepted, next.head.Revision, c.Preset
	e.Changes = diff(st.config, c)
	ops := []platform.Op{{Key: keyHead, Value: next.rawHead}}
	for _, name := range changed {
		ops = append(ops, platform.Op{Key: partPrefix + name, Value: parts[name]})
	}
	for _, name := range removed {
		ops = append(ops, platform.Op{Key: partPrefix + name, Delete: true})
	}
	txn := position.appendTxn(e)
	txn.If = append(txn.If, platform.Compare{Key: keyHead, Target: platform.CompareModRevision, Revision: st.modRevision})
	txn.Then = append(txn.Then, ops...)
	return txn, next, nil
}

// newAttemptID returns a random ID that starts with the Unix time in milliseconds, in hex; attemptTime
// reads it.
func newAttemptID() string {
	var random [8]byte
	rand.Read(random[:])
	return fmt.Sprintf("%012x-%s", time.Now().UnixMilli(), hex.EncodeToString(random[:]))
}
