package ledger

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/peer"
)

const (
	// abortDelay is the age from which an abandoned ACTION_BEGIN has no call in flight and can be aborted.
	abortDelay = 2 * callTimeout
	// maxAbandonedAge is the age from which an abandoned ACTION_BEGIN is left to an operator.
	maxAbandonedAge = time.Hour
	// maxAbandoned bounds the abandoned ACTION_BEGIN calls that a daemon tracks. Further ones are left to
	// an operator.
	maxAbandoned = 10000
)

// abandonedBegin is an ACTION_BEGIN whose outcome is unknown. Its request is never sent, so an intent
// that it may have written would only block the key.
type abandonedBegin struct {
	req   *peer.LedgerRequest
	since time.Time
}

func requestKey(req *peer.LedgerRequest) string {
	return string(req.Key) + req.MemberId + "/" + req.RequestId
}

// abandon records an ACTION_BEGIN to be aborted.
func (l *Ledger) abandon(req *peer.LedgerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.abandoned) < maxAbandoned {
		l.abandoned[requestKey(req)] = abandonedBegin{req, time.Now()}
	}
}

// isAbandoned reports whether an intent of the request is still to be aborted. Until then an
// ACTION_BEGIN of it must be refused: it could be confirmed and then deleted while the request runs.
func (l *Ledger) isAbandoned(req *peer.LedgerRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.abandoned[requestKey(req)]
	return ok
}

// abortAbandoned deletes the intents of abandoned ACTION_BEGIN calls until ctx is done.
func (l *Ledger) abortAbandoned(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for key, b := range l.dueAborts(time.Now()) {
			reply, err := l.Do(ctx, &peer.LedgerRequest{
				Action: peer.LedgerRequest_ACTION_ABORT, Key: b.req.Key,
				MemberId: b.req.MemberId, RequestId: b.req.RequestId,
			})
			if err != nil {
				break
			}
			switch reply.Result {
			case peer.LedgerReply_RESULT_DONE, peer.LedgerReply_RESULT_ABSENT, peer.LedgerReply_RESULT_EXISTS:
				l.mu.Lock()
				delete(l.abandoned, key)
				l.mu.Unlock()
			}
		}
	}
}

// dueAborts returns the abandoned calls to abort now and drops those that are too old.
func (l *Ledger) dueAborts(now time.Time) map[string]abandonedBegin {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := map[string]abandonedBegin{}
	for key, b := range l.abandoned {
		switch age := now.Sub(b.since); {
		case age > maxAbandonedAge:
			delete(l.abandoned, key)
		case age > abortDelay:
			due[key] = b
		}
	}
	return due
}
