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

// errSilent ends a watch whose service reports neither events nor progress.
var errSilent = errors.New("watch without progress")

// Watch implements platform.KV. It returns after the service has created the watch.
func (k *KV) Watch(parent context.Context, prefix string, from int64) (<-chan platform.WatchReply, error) {
	body, err := json.Marshal(&etcdjson.WatchRequest{Create: &etcdjson.WatchCreate{
		Key: k.key(prefix), RangeEnd: etcdjson.PrefixEnd(k.Prefix + prefix),
		StartRevision: from, ProgressNotify: true,
	}})
	if err != nil {
		return nil, err
	}
	endpoint := k.endpoints()[0]
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{
		kv: k, endpoint: endpoint, out: make(chan platform.WatchReply),
		timer: time.AfterFunc(k.Timeout.D(), func() { cancel(errSilent) }),
	}
	resp, _, err := k.open(ctx, k.writes, endpoint+etcdjson.PathWatch, body)
	if err == nil {
		w.dec = json.NewDecoder(resp.Body)
		// The first message says that the watch exists. Its revision may be newer than events that
		// are still to come, so it is not passed on as progress.
		if _, err = w.next(); err != nil {
			resp.Body.Close()
		}
	}
	if err != nil {
		w.timer.Stop()
		err = w.failure(ctx, err)
		cancel(nil)
		return nil, err
	}
	go func() {
		defer close(w.out)
		defer cancel(nil)
		defer w.timer.Stop()
		defer resp.Body.Close()
		w.run(parent, ctx)
	}()
	return w.out, nil
}

// watch is one open stream.
type watch struct {
	kv       *KV
	endpoint string
	dec      *json.Decoder
	out      chan platform.WatchReply
	// timer cancels the call while it waits for the creation or for the next message.
	timer *time.Timer
}

// failure adds the platform's error to the cause and prefers another endpoint from now on.
func (w *watch) failure(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	w.kv.preferred.Add(1)
	return oops.With("step", "watch").With("peer", w.endpoint).Wrap(fmt.Errorf("%w: %w", platform.ErrUnavailable, err))
}

// next reads one message; a compaction or a cancellation by the service is an error.
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
		return platform.WatchReply{}, fmt.Errorf("%w: oldest is %d", platform.ErrCompacted, m.Result.CompactRevision)
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

// run delivers messages until the stream or the caller's context ends. The timer is stopped while
// the receiver is slow: only the service's silence ends a watch.
func (w *watch) run(parent, ctx context.Context) {
	for {
		w.timer.Reset(w.kv.WatchTimeout.D())
		reply, err := w.next()
		w.timer.Stop()
		if parent.Err() != nil {
			return
		}
		if err != nil {
			reply = platform.WatchReply{Err: w.failure(ctx, err)}
		}
		select {
		case w.out <- reply:
		case <-parent.Done():
			return
		}
		if err != nil {
			return
		}
	}
}
