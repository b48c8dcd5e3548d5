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

// Actor is who makes a change, and from where.
type Actor struct {
	Name    string
	Address string
}

// Outcome says what became of a change.
type Outcome string

// The outcomes of a change.
const (
	// Accepted changes are durable and take effect everywhere.
	Accepted Outcome = "accepted"
	// Conflicting changes were made on a version that is no longer the current one.
	Conflicting Outcome = "conflict"
	// Invalid changes did not pass validation.
	Invalid Outcome = "invalid"
	// Rejected changes certainly had no effect, because the key-value service did not take them.
	Rejected Outcome = "rejected"
	// Denied changes were not tried, because the operator's role does not allow them.
	Denied Outcome = "denied"
	// Unknown changes may still turn out accepted or rejected; Attempt tells.
	Unknown Outcome = "unknown"
)

// Result is what became of a change.
type Result struct {
	// Attempt is the id to query the change with.
	Attempt string  `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	// Revision is the one that an accepted change made, or the current one in a conflict.
	Revision uint64    `json:"revision,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict has both versions of what a change was about: the whole configuration or one preset.
type Conflict struct {
	// Seen is the revision that the operator saw, Current the present one.
	Seen    uint64 `json:"seen"`
	Current uint64 `json:"current"`
	// ActivePreset is the preset in force.
	ActivePreset   string         `json:"active_preset"`
	CurrentConfig  *config.Config `json:"current_config,omitempty"`
	ProposedConfig *config.Config `json:"proposed_config,omitempty"`
	CurrentPreset  *config.Preset `json:"current_preset,omitempty"`
	ProposedPreset *config.Preset `json:"proposed_preset,omitempty"`
}

const (
	// changeTries bounds the tries of a change that meets other writers.
	changeTries = 8
	// settleLimit bounds the time in which a lost reply is settled before the result is unknown.
	settleLimit = 8 * time.Second
)

// builder makes the new configuration from the present one, or says why not.
type builder func(*state) (*config.Config, *Conflict, error)

// SwitchPreset puts a preset in force. seen is the revision of the preset that the operator saw.
func (s *Store) SwitchPreset(ctx context.Context, who Actor, preset string, seen uint64) Result {
	first := ""
	return s.change(ctx, who, "switch preset", func(st *state) (*config.Config, *Conflict, error) {
		p, ok := st.config.FindPreset(preset)
		if !ok {
			return nil, nil, fmt.Errorf("preset %q is not defined", preset)
		}
		if first == "" {
			first = st.head.Preset
		}
		// Another operator has switched while this change was under way, or has edited the preset.
		if st.head.Preset != first || p.Revision != seen {
			return nil, &Conflict{Seen: seen, Current: p.Revision, ActivePreset: st.head.Preset, CurrentPreset: &p}, nil
		}
		c := *st.config
		c.Preset = preset
		return &c, nil, nil
	})
}

// Apply replaces the whole configuration. base is the revision that the operator edited, 0 for the
// first one. Without a preset in c the active one stays.
func (s *Store) Apply(ctx context.Context, who Actor, c *config.Config, base uint64) Result {
	return s.change(ctx, who, "apply", func(st *state) (*config.Config, *Conflict, error) {
		if st.head.Revision != base {
			return nil, &Conflict{
				Seen: base, Current: st.head.Revision, ActivePreset: st.head.Preset,
				CurrentConfig: st.config, ProposedConfig: c,
			}, nil
		}
		n := *c
		if n.Preset == "" {
			n.Preset = st.head.Preset
		}
		n.Presets = stampPresets(c.Presets, st.config, st.next)
		return &n, nil, nil
	})
}

// ApplyPreset adds or replaces one preset. seen is the preset's revision that the operator edited,
// 0 for a new one.
func (s *Store) ApplyPreset(ctx context.Context, who Actor, p config.Preset, seen uint64) Result {
	return s.change(ctx, who, "apply preset", func(st *state) (*config.Config, *Conflict, error) {
		current, ok := st.config.FindPreset(p.Name)
		if current.Revision != seen {
			conflict := &Conflict{Seen: seen, Current: current.Revision, ActivePreset: st.head.Preset, ProposedPreset: &p}
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
		n.Presets = stampPresets(n.Presets, st.config, st.next)
		return &n, nil, nil
	})
}

// change runs one change to its outcome and makes sure that it is audited.
func (s *Store) change(ctx context.Context, who Actor, action string, build builder) Result {
	e := Entry{Time: time.Now().UTC(), Operator: who.Name, Address: who.Address, Action: action, Attempt: newAttempt()}
	r := s.try(ctx, &e, build)
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
		s.addOpen(e)
	}
	s.Log.Info("configuration change", "action", action, "operator", who.Name, "attempt", e.Attempt,
		"outcome", r.Outcome, "revision", r.Revision, "reason", r.Reason)
	return r
}

// AuditDenied records a change that an authenticated operator's role does not allow.
func (s *Store) AuditDenied(ctx context.Context, who Actor, action, reason string) {
	s.counters.refused.Inc(1)
	s.audit(context.WithoutCancel(ctx), Entry{
		Time: time.Now().UTC(), Operator: who.Name, Address: who.Address, Action: action,
		Attempt: newAttempt(), Outcome: Denied, Reason: reason,
	})
}

// try writes the change. A transaction that certainly failed because of another writer is made anew.
func (s *Store) try(ctx context.Context, e *Entry, build builder) Result {
	for range changeTries {
		st, seq, err := s.readState(ctx)
		if err != nil {
			return Result{Outcome: Rejected, Reason: err.Error()}
		}
		e.FromRevision, e.FromPreset, e.headModified = st.head.Revision, st.head.Preset, st.modified
		c, conflict, err := build(st)
		if conflict != nil {
			reason := fmt.Sprintf("revision %d was seen, the current one is %d", conflict.Seen, conflict.Current)
			return Result{Outcome: Conflicting, Revision: st.head.Revision, Reason: reason, Conflict: conflict}
		}
		if err == nil {
			err = s.check(c, st.next)
		}
		if err != nil {
			return Result{Outcome: Invalid, Reason: err.Error()}
		}
		txn, n, err := prepare(st, c, e, seq)
		if err != nil {
			return Result{Outcome: Invalid, Reason: err.Error()}
		}
		reply, err := s.KV.Txn(ctx, txn)
		switch {
		case errors.Is(err, platform.ErrNotApplied):
			return Result{Outcome: Rejected, Reason: err.Error()}
		case err != nil:
			return s.settleNow(ctx, *e)
		case reply.Succeeded:
			s.publish(&n.head, n.raw, n.parts)
			s.assemble()
			return Result{Outcome: Accepted, Revision: n.head.Revision}
		}
	}
	return Result{Outcome: Rejected, Reason: "too many other changes at the same time"}
}

func (s *Store) check(c *config.Config, revision uint64) error {
	if s.Validate != nil {
		if err := s.Validate(c); err != nil {
			return err
		}
	}
	_, err := s.Snapshot().Next(revision, c)
	return err
}

// readState reads the configuration and the position of the audit trail.
func (s *Store) readState(ctx context.Context) (*state, sequence, error) {
	seq, err := s.readSequence(ctx)
	if err != nil {
		return nil, seq, err
	}
	kvs, err := s.readForChange(ctx)
	if err != nil {
		return nil, seq, err
	}
	st, err := decodeState(kvs)
	if err != nil {
		return nil, seq, err
	}
	st.next = st.head.Revision + 1
	if current := s.Snapshot(); current != nil {
		st.next = max(st.next, current.Revision+1)
	}
	st.config, err = st.head.join(st.parts, s.last.Load())
	return st, seq, err
}

// readForChange reads the head, and takes the parts from this daemon's documents when they are the
// head's: a change of a preset would otherwise read and decode 1.6 MB at 8,500 workspaces.
func (s *Store) readForChange(ctx context.Context) (map[string]platform.KeyValue, error) {
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
			all, _, err := s.read(ctx)
			return all, err
		}
		kvs[partPrefix+name] = platform.KeyValue{Key: partPrefix + name, Value: content}
	}
	return kvs, nil
}

// prepare builds the transaction of a change and the state that it makes.
func prepare(st *state, c *config.Config, e *Entry, seq sequence) (platform.Txn, *state, error) {
	parts, err := split(c, st)
	if err != nil {
		return platform.Txn{}, nil, err
	}
	n := &state{parts: parts, config: c}
	var changed, gone []string
	n.head, changed, gone = st.head.next(st.next, c.Preset, e.Attempt, parts)
	if n.raw, err = json.Marshal(n.head); err != nil {
		return platform.Txn{}, nil, err
	}
	e.Outcome, e.ToRevision, e.ToPreset = Accepted, n.head.Revision, c.Preset
	e.Changes = diff(st.config, c)
	ops := []platform.Op{{Key: keyHead, Value: n.raw}}
	for _, name := range changed {
		ops = append(ops, platform.Op{Key: partPrefix + name, Value: parts[name]})
	}
	for _, name := range gone {
		ops = append(ops, platform.Op{Key: partPrefix + name, Delete: true})
	}
	txn := seq.append(e)
	txn.If = append(txn.If, platform.Compare{Key: keyHead, Target: platform.CompareModRevision, Revision: st.modified})
	txn.Then = append(txn.Then, ops...)
	return txn, n, nil
}

// newAttempt returns an id that starts with the time in milliseconds.
func newAttempt() string {
	var random [8]byte
	rand.Read(random[:])
	return fmt.Sprintf("%012x-%s", time.Now().UnixMilli(), hex.EncodeToString(random[:]))
}
