package scheduler

import (
	"errors"
	"sync"

	"github.com/chivewind/chivewind/peer"
)

// localTransport is the transport to this daemon's own scheduler.
type localTransport struct {
	session *session
	closed  chan struct{}
	once    sync.Once
	// mu serializes calls to session.handle and session.close.
	mu sync.Mutex
	// pending holds received replies that Recv has not returned yet. Only Recv uses it.
	pending []*peer.ScheduleReply
}

var _ transport = (*localTransport)(nil)

var errLocalClosed = errors.New("local scheduler session closed")

func newLocalTransport(s *Scheduler, self *peer.Member) *localTransport {
	t := &localTransport{closed: make(chan struct{})}
	t.session = s.openSession(self.Id, self.Incarnation, func() {})
	return t
}

// Send implements transport. The scheduler processes the message before Send returns.
func (t *localTransport) Send(m *peer.ScheduleRequest) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.closed:
		return errLocalClosed
	default:
	}
	t.session.handle(m)
	return nil
}

// Recv implements transport. It must not be called concurrently.
func (t *localTransport) Recv() (*peer.ScheduleReply, error) {
	for len(t.pending) == 0 {
		select {
		case <-t.session.out.ready:
			replies, open := t.session.out.take()
			if !open {
				return nil, errLocalClosed
			}
			t.pending = replies
		case <-t.closed:
			return nil, errLocalClosed
		}
	}
	r := t.pending[0]
	t.pending = t.pending[1:]
	return r, nil
}

// Close implements transport. It always returns nil.
func (t *localTransport) Close() error {
	t.once.Do(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		close(t.closed)
		t.session.close()
	})
	return nil
}
