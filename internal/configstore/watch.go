package configstore

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/platform"
)

const (
	// watchKey is the rendezvous-hashing key that selects the watchers among the members.
	watchKey = "config-watch"
	// watcherCount is the number of daemons of the whole deployment that watch the service.
	watcherCount = 3
	// watchBackoff is the mean delay before a failed watch is restarted.
	watchBackoff = time.Second
)

// watcher runs the watch while this daemon is one of the watchers. Only Run's goroutine uses it.
type watcher struct {
	store  *Store
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// reconcile starts or stops the watch according to the current members.
func (w *watcher) reconcile(ctx context.Context) {
	owner := false
	self := w.store.Members.Self().Id
	for _, m := range w.store.Members.Owners(watchKey, watcherCount) {
		owner = owner || m.Id == self
	}
	switch {
	case owner && w.cancel == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		w.cancel = cancel
		w.done.Go(func() { w.store.watch(watchCtx) })
	case !owner && w.cancel != nil:
		w.stop()
	}
}

// stop cancels the watch and waits for its goroutine to end.
func (w *watcher) stop() {
	if w.cancel != nil {
		w.cancel()
		w.done.Wait()
		w.cancel = nil
	}
}

// watch publishes the stored configuration and its changes as replicated documents until ctx ends. After a
// failure it starts again with a full read, because a restarted watch may have missed changes.
func (s *Store) watch(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		s.counters.watchRestarts.Inc(1)
		s.Log.Debug("configuration watch ended", "error", err)
		pause := watchBackoff/2 + rand.N(watchBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// watchOnce reads and publishes the stored configuration, and then publishes each change until the watch fails.
func (s *Store) watchOnce(ctx context.Context) error {
	kvs, revision, err := s.readAll(ctx)
	if err != nil {
		return err
	}
	s.publishKeys(kvs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies, err := s.KV.Watch(ctx, dataPrefix, revision+1)
	if err != nil {
		return err
	}
	for r := range replies {
		if r.Err != nil {
			return r.Err
		}
		for _, e := range r.Events {
			if e.Deleted {
				delete(kvs, e.KV.Key)
			} else {
				kvs[e.KV.Key] = e.KV
			}
		}
		if len(r.Events) > 0 {
			s.publishKeys(maps.Clone(kvs))
		}
	}
	return ctx.Err()
}

// readAll returns the head and the parts by key, and the service revision at which they were read.
func (s *Store) readAll(ctx context.Context) (map[string]platform.KeyValue, int64, error) {
	s.counters.serviceReads.Inc(1)
	reply, err := s.KV.Range(ctx, platform.RangeRequest{Key: dataPrefix, Prefix: true})
	if err != nil {
		return nil, 0, oops.With("step", "read configuration").Wrap(err)
	}
	kvs := map[string]platform.KeyValue{}
	for _, kv := range reply.KVs {
		kvs[kv.Key] = kv
	}
	return kvs, reply.Revision, nil
}

// Refresh reads the configuration from the service and publishes it as replicated documents. A daemon uses it
// when its peers do not supply the configuration and after it has resolved a lost reply.
func (s *Store) Refresh(ctx context.Context) error {
	kvs, _, err := s.readAll(ctx)
	if err != nil {
		return err
	}
	s.publishKeys(kvs)
	return nil
}

// publishKeys publishes the head and the parts in kvs.
func (s *Store) publishKeys(kvs map[string]platform.KeyValue) {
	st, err := decodeState(kvs)
	if err != nil {
		s.Log.Error("cannot decode the configuration in the key-value service", "error", err)
		return
	}
	s.publish(&st.head, st.rawHead, st.parts)
	s.wakeRun()
}

// decodeState decodes the head in kvs and collects the parts by name.
func decodeState(kvs map[string]platform.KeyValue) (*storedState, error) {
	st := &storedState{parts: map[string][]byte{}}
	var err error
	if kv, ok := kvs[keyHead]; ok {
		st.head, st.rawHead, st.modRevision, err = decodeHead([]platform.KeyValue{kv})
	}
	for key, kv := range kvs {
		if name, ok := strings.CutPrefix(key, partPrefix); ok {
			st.parts[name] = kv.Value
		}
	}
	return st, err
}
