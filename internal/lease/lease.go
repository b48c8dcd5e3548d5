// Package lease implements cluster-wide exclusive roles with fencing tokens.
//
// A Session is one lease of the key-value store that all roles of a daemon share. A HeldRole is one
// role held under it: a key attached to the lease, which the store deletes when the lease ends. The
// key's creation revision is the fencing token; it increases with each new holder, also when the store has come back from an
// older copy, because a revision contains the store's era. The session's
// mutex guards the state of all its roles and is not held during calls to the store.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"

	"github.com/chivewind/chivewind/platform"
)

var (
	// ErrHeld means that the role is held by another session, or held or being acquired by this one.
	ErrHeld = errors.New("role is already held or being acquired")
	// ErrLost means that the lease has expired or may have expired.
	ErrLost = errors.New("lease lost")
)

const (
	// keyPrefix is the prefix of all role keys.
	keyPrefix = "lease/"
	// driftMarginDivisor sets the safety margin: the last 1/driftMarginDivisor of the TTL is not used,
	// because the local clock may run slower than the store's.
	driftMarginDivisor = 10
	// renewalsPerTTL is the number of renewals sent per TTL. With three, two in a row may fail.
	renewalsPerTTL = 3
	// retriesPerTTL is the number of renewal attempts per TTL after a failed one.
	retriesPerTTL = 10
	// maxAcquireAttempts bounds the attempts of an acquisition whose replies are lost.
	maxAcquireAttempts = 3
)

// Session is one lease of a daemon and the roles held under it.
type Session struct {
	kv       platform.KV
	daemonID string
	ttl      time.Duration
	log      hclog.Logger
	// grantSem is a semaphore that allows one lease grant at a time.
	grantSem chan struct{}
	renewNow chan struct{}

	mu sync.Mutex
	id platform.LeaseID
	// validFrom is the local time before the request that granted or last renewed the lease was sent. The
	// lease is valid for validFor from then on.
	validFrom time.Time
	validFor  time.Duration
	// tokens has the fencing tokens, by role, of the roles held under the current lease, 0 during an acquisition.
	tokens map[string]int64
	// orphans has, by role, the keys that may exist under the current lease although their role is not held.
	orphans map[string]orphan
}

// orphan describes a role key whose release or acquisition has got no reply. As long as the session
// renews its lease, such a key keeps other daemons from acquiring the role.
type orphan struct {
	// token is the key's fencing token, or 0 if it is unknown because the acquisition has got no reply.
	token int64
	// until is the time after which an orphan without a token is dropped if no key has been found. Before
	// it, the transaction that creates the key may still be applied.
	until time.Time
}

// New returns a session whose lease has the given time to live. Run must be running, or the lease is
// not renewed and its roles expire.
func New(kv platform.KV, daemonID string, ttl time.Duration, log hclog.Logger) *Session {
	s := &Session{
		kv: kv, daemonID: daemonID, ttl: ttl, log: log,
		grantSem: make(chan struct{}, 1), renewNow: make(chan struct{}, 1),
	}
	s.reset(platform.LeaseID{})
	return s
}

// Run renews the lease while roles are held and deletes orphaned keys, until ctx is done.
func (s *Session) Run(ctx context.Context) error {
	timer := time.NewTimer(s.ttl / renewalsPerTTL)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.renewNow:
		case <-timer.C:
		}
		next := s.ttl / renewalsPerTTL
		if s.keepAlive(ctx) != nil || s.deleteOrphans(ctx) != nil {
			next = s.ttl / retriesPerTTL
		}
		timer.Reset(next)
	}
}

func (s *Session) keepAlive(ctx context.Context) error {
	s.mu.Lock()
	id, held := s.id, s.heldCount()
	s.mu.Unlock()
	if id == (platform.LeaseID{}) || held == 0 {
		return nil
	}
	start := time.Now()
	ttl, err := s.kv.KeepAlive(ctx, id)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		s.invalidate(id)
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.extend(start, ttl)
	}
	return nil
}

// extend sets the validity of the lease. start is the time before the request was sent. s.mu is held.
func (s *Session) extend(start time.Time, ttl time.Duration) {
	ttl = min(ttl, s.ttl)
	s.validFrom, s.validFor = start, ttl-ttl/driftMarginDivisor
}

// invalidate drops a lease that has ended; its roles are lost from then on.
func (s *Session) invalidate(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return
	}
	s.log.Warn("lease lost", "holder", s.daemonID, "roles", s.heldCount())
	s.reset(platform.LeaseID{})
}

// heldCount returns the number of held roles. A pending acquisition does not count, so that the lease
// is not renewed for a role whose reply is outstanding. s.mu is held.
func (s *Session) heldCount() int {
	n := 0
	for _, token := range s.tokens {
		if token != 0 {
			n++
		}
	}
	return n
}

// reset replaces the lease by one without roles. s.mu is held.
func (s *Session) reset(id platform.LeaseID) {
	s.id, s.tokens, s.orphans = id, map[string]int64{}, map[string]orphan{}
}

// leaseValid reports whether the lease id is valid at time now. Wall and monotonic time are both
// checked, because the monotonic clock may stop while the VM is suspended. s.mu is held.
func (s *Session) leaseValid(id platform.LeaseID, now time.Time) bool {
	return id != (platform.LeaseID{}) && s.id == id && now.Sub(s.validFrom) < s.validFor &&
		now.Round(0).Sub(s.validFrom.Round(0)) < s.validFor
}

// ensureLease returns the id of the current lease if it is valid, or grants a new lease.
func (s *Session) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	select {
	case s.grantSem <- struct{}{}:
		defer func() { <-s.grantSem }()
	case <-ctx.Done():
		return platform.LeaseID{}, ctx.Err()
	}
	s.mu.Lock()
	id, valid, held := s.id, s.leaseValid(s.id, time.Now()), s.heldCount()
	s.mu.Unlock()
	if valid {
		return id, nil
	}
	if id != (platform.LeaseID{}) && held > 0 {
		// The lease may still exist in the store; the renewal in Run finds out.
		s.wakeRun()
		return platform.LeaseID{}, ErrLost
	}
	start := time.Now()
	id, err := s.kv.Grant(ctx, s.ttl)
	if err != nil {
		return platform.LeaseID{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset(id)
	s.extend(start, s.ttl)
	return id, nil
}

func (s *Session) wakeRun() {
	select {
	case s.renewNow <- struct{}{}:
	default:
	}
}

// Acquire acquires a role. The error is ErrHeld when another session holds it or this session already
// holds or acquires it, and ErrLost when the lease has expired or may have expired.
func (s *Session) Acquire(ctx context.Context, role string) (*HeldRole, error) {
	h, err := s.acquire(ctx, role)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		// The lease has expired since the last renewal; the second attempt gets a new one.
		h, err = s.acquire(ctx, role)
	}
	if err != nil {
		return nil, oops.With("step", "acquire").With("role", role).Wrap(err)
	}
	return h, nil
}

func (s *Session) acquire(ctx context.Context, role string) (*HeldRole, error) {
	id, err := s.ensureLease(ctx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	if _, busy := s.tokens[role]; busy {
		s.mu.Unlock()
		return nil, ErrHeld
	}
	if s.id != id {
		s.mu.Unlock()
		return nil, ErrLost
	}
	s.tokens[role] = 0
	s.mu.Unlock()
	// createKey reuses an existing key of this lease. The transaction of a release without a reply may
	// still delete that key, so the release is completed first.
	if err = s.finishRelease(ctx, id, role); err != nil {
		s.cancelAcquire(id, role, false)
		return nil, err
	}
	token, err := s.createKey(ctx, role, id)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		s.invalidate(id)
	}
	s.mu.Lock()
	valid := s.leaseValid(id, time.Now())
	if err == nil && valid {
		s.tokens[role] = token
	}
	s.mu.Unlock()
	switch {
	case err != nil:
		s.cancelAcquire(id, role, !errors.Is(err, ErrHeld) && !errors.Is(err, platform.ErrNotApplied))
		return nil, err
	case !valid:
		s.cancelAcquire(id, role, true)
		return nil, ErrLost
	}
	return &HeldRole{session: s, role: role, leaseID: id, token: token}, nil
}

// cancelAcquire ends a failed acquisition. If its key may exist, it is recorded for deletion.
func (s *Session) cancelAcquire(id platform.LeaseID, role string, mayExist bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return
	}
	delete(s.tokens, role)
	if mayExist {
		s.orphans[role] = orphan{until: time.Now().Add(s.ttl)}
	}
}

// createKey creates the role's key if it is absent and returns its fencing token. The transaction is
// idempotent and is retried after a lost reply: the lease attached to the key shows whether an earlier
// attempt was applied.
func (s *Session) createKey(ctx context.Context, role string, id platform.LeaseID) (int64, error) {
	key := Key(role)
	txn := platform.Txn{
		If:   []platform.Compare{{Key: key, Target: platform.CompareCreateRevision, Revision: 0}},
		Then: []platform.Op{{Key: key, Value: []byte(s.daemonID), Lease: id}},
		Else: []platform.Op{{Key: key, Read: true}},
	}
	for attempt := 1; ; attempt++ {
		reply, err := s.kv.Txn(ctx, txn)
		switch {
		case err != nil && (attempt == maxAcquireAttempts || !errors.Is(err, platform.ErrOutcomeUnknown) || ctx.Err() != nil):
			return 0, err
		case err != nil:
			continue
		case reply.Succeeded:
			return reply.Revision, nil
		}
		for _, kv := range reply.Reads[0].KVs {
			if kv.Lease == id {
				return kv.ModRevision, nil
			}
		}
		return 0, ErrHeld
	}
}

// Close revokes the lease, which frees its roles for other daemons at once.
func (s *Session) Close(ctx context.Context) error {
	s.mu.Lock()
	id := s.id
	s.reset(platform.LeaseID{})
	s.mu.Unlock()
	if id == (platform.LeaseID{}) {
		return nil
	}
	err := s.kv.Revoke(ctx, id)
	if err != nil && !errors.Is(err, platform.ErrLeaseNotFound) {
		return oops.With("step", "revoke lease").Wrap(err)
	}
	return nil
}

// Key returns the key of a role in the store.
func Key(role string) string { return keyPrefix + role }
