package usage

import (
	"context"
	"sync"

	"github.com/chivewind/chivewind/platform"
)

// Decisions is this daemon's copy of the value of Key, the decisions on all windows so far. It outlives the terms of a Task. A
// store that has come back from an older copy may have lost decisions whose reports the control plane has accepted; a holder
// that decided on these windows again would report them with other counts. It is safe for concurrent use.
type Decisions struct {
	mu    sync.Mutex
	state stored
}

// Observe records a value of Key that has been read from the store.
func (d *Decisions) Observe(value []byte) error {
	var state stored
	if err := decode(value, &state); err != nil {
		return err
	}
	d.latest(state)
	return nil
}

// latest records a state and returns the one with the latest decisions that is known. Each state is based on the one before it,
// so that it has all decisions that are not settled yet.
func (d *Decisions) latest(state stored) stored {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.Next >= d.state.Next {
		d.state = state
	}
	return d.state
}

// Restore writes the decisions that are known to the store if it has lost some of them, and reports whether it has.
func (d *Decisions) Restore(ctx context.Context, kv platform.KV) (restored bool, err error) {
	if d.latest(stored{}).Next == 0 {
		return false, nil
	}
	reply, err := kv.Range(ctx, platform.RangeRequest{Key: Key})
	if err != nil {
		return false, err
	}
	current, revision := stored{}, int64(0)
	if len(reply.KVs) > 0 {
		// A malformed value holds no decision and is replaced.
		_ = decode(reply.KVs[0].Value, &current)
		revision = reply.KVs[0].ModRevision
	}
	known := d.latest(current)
	if current.Next >= known.Next {
		return false, nil
	}
	_, err = replace(ctx, kv, revision, encode(known))
	return err == nil, err
}

// replace writes the value of Key on condition that its revision is the given one, 0 if it does not exist. It returns the new
// revision.
func replace(ctx context.Context, kv platform.KV, revision int64, value []byte) (int64, error) {
	reply, err := kv.Txn(ctx, platform.Txn{
		If:   []platform.Compare{{Key: Key, Target: platform.CompareModRevision, Revision: revision}},
		Then: []platform.Op{{Key: Key, Value: value}},
	})
	if err == nil && !reply.Succeeded {
		err = errLostRace
	}
	return reply.Revision, err
}
