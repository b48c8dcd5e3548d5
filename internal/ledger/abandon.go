package ledger

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/peer"
)

const (
	// abandonDelay is the time after which no call of an abandoned begin is under way any more.
	abandonDelay = 2 * callTimeout
	// abandonLimit is the time after which an abandoned begin is left to an operator.
	abandonLimit = time.Hour
	// maxAbandoned bounds the abandoned begins that a daemon remembers.
	maxAbandoned = 10000
)

// abandonedBegin is a begin whose outcome stayed unknown. Its request is not sent, so an intent
// that it may have left would only block the key.
type abandonedBegin struct {
	req   *peer.LedgerRequest
	since time.Time
}

func requestKey(req *peer.LedgerRequest) string {
	return string(req.Key) + req.MemberId + "/" + req.RequestId
}

// abandon remembers a begin to abort.
func (l *Ledger) abandon(req *peer.LedgerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.abandoned) < maxAbandoned {
		l.abandoned[requestKey(req)] = abandonedBegin{req, time.Now()}
	}
}

// isAbandoned says whether an intent of the request is still to be removed. A begin meanwhile could
// be confirmed and then removed while the request runs.
func (l *Ledger) isAbandoned(req *peer.LedgerRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.abandoned[requestKey(req)]
	return ok
}

// abortAbandoned removes the intents of abandoned begins, until ctx ends.
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

// dueAborts returns the begins to abort now and drops those that are too old.
func (l *Ledger) dueAborts(now time.Time) map[string]abandonedBegin {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := map[string]abandonedBegin{}
	for key, b := range l.abandoned {
		switch age := now.Sub(b.since); {
		case age > abandonLimit:
			delete(l.abandoned, key)
		case age > abandonDelay:
			due[key] = b
		}
	}
	return due
}
