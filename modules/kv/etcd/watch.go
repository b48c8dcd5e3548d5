package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/platform"
)

// errWatchTimeout is the error of a watch that was not created in time, or that received neither events nor
// progress notifications in time.
var errWatchTimeout = errors.New("no watch event or progress notification within the timeout")

// Watch implements platform.KV. It returns after the service has created the watch.
func (k *KV) Watch(parent context.Context, prefix string, from int64) (<-chan platform.WatchReply, error) {
	body, err := json.Marshal(&etcdjson.WatchRequest{Create: &etcdjson.WatchCreateRequest{
		Key: k.prefixedKey(prefix), RangeEnd: etcdjson.PrefixEnd(k.Prefix + prefix),
		StartRevision: from, ProgressNotify: true,
	}})
	if err != nil {
		return nil, err
	}
	endpoint := k.endpointsByPreference()[0]
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{
		kv: k, endpoint: endpoint, replies: make(chan platform.WatchReply),
		timer: time.AfterFunc(k.Timeout.D(), func() { cancel(errWatchTimeout) }),
	}
	resp, _, err := k.send(ctx, k.unpooledClient, endpoint+etcdjson.PathWatch, body)
	if err == nil {
		w.dec = json.NewDecoder(resp.Body)
		// The first message confirms that the watch was created. It is not passed on as progress, because
		// its revision may be newer than that of events that are yet to be sent.
		if _, err = w.next(); err != nil {
			resp.Body.Close()
		}
	}
	if err != nil {
		w.timer.Stop()
		err = w.failover(ctx, err)
		cancel(nil)
		return nil, err
	}
	go func() {
		defer close(w.replies)
		defer cancel(nil)
		defer w.timer.Stop()
		defer resp.Body.Close()
		w.run(parent, ctx)
	}()
	return w.replies, nil
}

// watch is an open watch stream.
type watch struct {
	kv       *KV
	endpoint string
	dec      *json.Decoder
	replies  chan platform.WatchReply
	// timer cancels the call if the creation of the watch or the next message takes too long.
	timer *time.Timer
}

// failover makes later calls start with the next endpoint and returns the error of the failed watch. The error wraps
// platform.ErrUnavailable and, after a compaction, also platform.ErrCompacted.
func (w *watch) failover(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errWatchTimeout) {
		err = errWatchTimeout
	}
	w.kv.failureCount.Add(1)
	return oops.With("step", "watch").With("peer", w.endpoint).Wrap(fmt.Errorf("%w: %w", platform.ErrUnavailable, err))
}

// next reads one message. It returns an error if the service reports a compaction or cancels the watch.
func (w *watch) next() (platform.WatchReply, error) {
	var m etcdjson.WatchReply
	if err := w.dec.Decode(&m); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return platform.WatchReply{}, err
	}
	switch {
	case m.Error != nil:
		return platform.WatchReply{}, fmt.Errorf("watch refused: %s", m.Error.Message)
	case m.Result == nil:
		return platform.WatchReply{}, errors.New("watch message without result")
	case m.Result.CompactRevision > 0:
		return platform.WatchReply{}, fmt.Errorf("%w: oldest revision is %d", platform.ErrCompacted, m.Result.CompactRevision)
	case m.Result.Canceled:
		return platform.WatchReply{}, fmt.Errorf("watch canceled by the service: %s", m.Result.CancelReason)
	}
	reply := platform.WatchReply{Revision: revision(m.Result.Header)}
	for _, e := range m.Result.Events {
		if e.KV != nil {
			reply.Events = append(reply.Events, platform.Event{
				KV: w.kv.keyValue(e.KV), Deleted: e.Type == etcdjson.EventDelete,
			})
		}
	}
	return reply, nil
}

// run delivers messages until the stream or the caller's context ends. The timer is stopped during
// delivery, so that a slow receiver does not end the watch.
func (w *watch) run(parent, ctx context.Context) {
	for {
		w.timer.Reset(w.kv.WatchTimeout.D())
		reply, err := w.next()
		w.timer.Stop()
		if parent.Err() != nil {
			return
		}
		if err != nil {
			reply = platform.WatchReply{Err: w.failover(ctx, err)}
		}
		select {
		case w.replies <- reply:
		case <-parent.Done():
			return
		}
		if err != nil {
			return
		}
	}
}
