package scheduler

import (
	"errors"
	"sync"

	"github.com/chivewind/chivewind/peer"
)

// localChannel is the channel to this daemon's own scheduler.
type localChannel struct {
	session *session
	closed  chan struct{}
	once    sync.Once
	// mu serializes the calls of the session.
	mu sync.Mutex
	// pending is used by Recv only.
	pending []*peer.ScheduleReply
}

var _ channel = (*localChannel)(nil)

var errLocalClosed = errors.New("local session closed")

func newLocalChannel(s *Scheduler, self *peer.Member) *localChannel {
	ch := &localChannel{closed: make(chan struct{})}
	ch.session = s.open(self.Id, self.Incarnation, func() {})
	return ch
}

// Send implements channel.
func (ch *localChannel) Send(m *peer.ScheduleRequest) error {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	select {
	case <-ch.closed:
		return errLocalClosed
	default:
	}
	ch.session.handle(m)
	return nil
}

// Recv implements channel.
func (ch *localChannel) Recv() (*peer.ScheduleReply, error) {
	for len(ch.pending) == 0 {
		select {
		case <-ch.session.out.ready:
			replies, open := ch.session.out.take()
			if !open {
				return nil, errLocalClosed
			}
			ch.pending = replies
		case <-ch.closed:
			return nil, errLocalClosed
		}
	}
	r := ch.pending[0]
	ch.pending = ch.pending[1:]
	return r, nil
}

// Close implements channel.
func (ch *localChannel) Close() error {
	ch.once.Do(func() {
		ch.mu.Lock()
		defer ch.mu.Unlock()
		close(ch.closed)
		ch.session.close()
	})
	return nil
}
