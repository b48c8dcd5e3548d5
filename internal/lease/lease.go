// Package lease gives a daemon unique roles with fencing tokens.
//
// A Session is one lease of the key-value service that all roles of a daemon share. A Holder is one
// role held under it: a key that exists as long as the lease. The key's creation revision is the
// fencing token; it grows with each new holder. The session's mutex guards all state of its
// holders; it is not held during calls to the service.
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
	// ErrHeld means that another session holds the role.
	ErrHeld = errors.New("role is held by another daemon")
	// ErrLost means that the lease expired or may have expired.
	ErrLost = errors.New("lease lost")
)

const (
	// keyPrefix is the prefix of all role keys.
	keyPrefix = "lease/"
	// driftMargin is the part of the time to live that the holder does not use, because its clock
	// may run slower than the service's.
	driftMargin = 10
	// renewals is the number of renewals per time to live, so that two may fail.
	renewals = 3
	// retries is the number of renewal attempts per time to live after a failed one.
	retries = 10
	// acquireAttempts bounds the tries of an acquisition whose replies are lost.
	acquireAttempts = 3
)

// Session is one lease of a daemon.
type Session struct {
	kv     platform.KV
	holder string
	ttl    time.Duration
	log    hclog.Logger
	// granting has room for one element: it allows one grant at a time.
	granting chan struct{}
	renew    chan struct{}

	mu sync.Mutex
	id platform.LeaseID
	// start is taken before the request that granted or last renewed the lease; it is valid for
	// the time valid from then on.
	start time.Time
	valid time.Duration
	// holders has the tokens of the roles held under the present lease, 0 during an acquisition.
	holders map[string]int64
	// leftovers are keys that may exist under the present lease without a holder.
	leftovers map[string]leftover
}

// leftover is a role key whose release or acquisition got no reply. While the session renews its
// lease, such a key would keep other daemons from taking the role.
type leftover struct {
	// token is 0 after an acquisition, whose token is not known.
	token int64
	// until bounds the checks for a key that may still appear.
	until time.Time
}

// New returns a session for a daemon. Run must be called for it to keep its roles.
func New(kv platform.KV, holder string, ttl time.Duration, log hclog.Logger) *Session {
	s := &Session{kv: kv, holder: holder, ttl: ttl, log: log, granting: make(chan struct{}, 1), renew: make(chan struct{}, 1)}
	s.reset(0)
	return s
}

// Run renews the lease while roles are held, until ctx ends.
func (s *Session) Run(ctx context.Context) error {
	timer := time.NewTimer(s.ttl / renewals)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.renew:
		case <-timer.C:
		}
		next := s.ttl / renewals
		if s.keepAlive(ctx) != nil || s.cleanUp(ctx) != nil {
			next = s.ttl / retries
		}
		timer.Reset(next)
	}
}

func (s *Session) keepAlive(ctx context.Context) error {
	s.mu.Lock()
	id, held := s.id, s.roles()
	s.mu.Unlock()
	if id == 0 || held == 0 {
		return nil
	}
	start := time.Now()
	ttl, err := s.kv.KeepAlive(ctx, id)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		s.lose(id)
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

// extend sets the validity from before the request. The caller holds the mutex.
func (s *Session) extend(start time.Time, ttl time.Duration) {
	ttl = min(ttl, s.ttl)
	s.start, s.valid = start, ttl-ttl/driftMargin
}

// lose forgets a lease; its holders are invalid from now on.
func (s *Session) lose(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return
	}
	s.log.Warn("lease lost", "holder", s.holder, "roles", s.roles())
	s.reset(0)
}

// roles returns the number of roles held. An acquisition does not count: while its reply is
// missing, the lease is not renewed for it. The caller holds the mutex.
func (s *Session) roles() int {
	n := 0
	for _, token := range s.holders {
		if token != 0 {
			n++
		}
	}
	return n
}

// reset starts with a lease without roles. The caller holds the mutex.
func (s *Session) reset(id platform.LeaseID) {
	s.id, s.holders, s.leftovers = id, map[string]int64{}, map[string]leftover{}
}

// current says whether the lease id is valid at a time. Wall and monotonic time are both checked,
// because the monotonic clock may stand still while the VM is suspended. The caller holds the mutex.
func (s *Session) current(id platform.LeaseID, now time.Time) bool {
	return id != 0 && s.id == id && now.Sub(s.start) < s.valid &&
		now.Round(0).Sub(s.start.Round(0)) < s.valid
}

// lease returns a valid lease, granting one when needed.
func (s *Session) lease(ctx context.Context) (platform.LeaseID, error) {
	select {
	case s.granting <- struct{}{}:
		defer func() { <-s.granting }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	s.mu.Lock()
	id, valid, held := s.id, s.current(s.id, time.Now()), s.roles()
	s.mu.Unlock()
	if valid {
		return id, nil
	}
	if id != 0 && held > 0 {
		// The roles under it may still exist; Run finds out.
		s.wake()
		return 0, ErrLost
	}
	start := time.Now()
	id, err := s.kv.Grant(ctx, s.ttl)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset(id)
	s.extend(start, s.ttl)
	return id, nil
}

func (s *Session) wake() {
	select {
	case s.renew <- struct{}{}:
	default:
	}
}

// Acquire takes a role. It fails with ErrHeld while another session holds it.
func (s *Session) Acquire(ctx context.Context, role string) (*Holder, error) {
	h, err := s.acquire(ctx, role)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		// The lease expired since the last renewal.
		h, err = s.acquire(ctx, role)
	}
	if err != nil {
		return nil, oops.With("step", "acquire").With("role", role).Wrap(err)
	}
	return h, nil
}

func (s *Session) acquire(ctx context.Context, role string) (*Holder, error) {
	id, err := s.lease(ctx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	if _, busy := s.holders[role]; busy {
		s.mu.Unlock()
		return nil, ErrHeld
	}
	if s.id != id {
		s.mu.Unlock()
		return nil, ErrLost
	}
	s.holders[role] = 0
	s.mu.Unlock()
	// A release without reply may still delete the present key, so the role is not taken over it.
	if err = s.finishRelease(ctx, id, role); err != nil {
		s.abandon(id, role, false)
		return nil, err
	}
	token, err := s.take(ctx, role, id)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		s.lose(id)
	}
	s.mu.Lock()
	valid := s.current(id, time.Now())
	if err == nil && valid {
		s.holders[role] = token
	}
	s.mu.Unlock()
	switch {
	case err != nil:
		s.abandon(id, role, !errors.Is(err, ErrHeld) && !errors.Is(err, platform.ErrNotApplied))
		return nil, err
	case !valid:
		s.abandon(id, role, true)
		return nil, ErrLost
	}
	return &Holder{session: s, role: role, lease: id, token: token}, nil
}

// abandon ends an acquisition without a holder. When its key may exist, it is removed later.
func (s *Session) abandon(id platform.LeaseID, role string, mayExist bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return
	}
	delete(s.holders, role)
	if mayExist {
		s.leftovers[role] = leftover{until: time.Now().Add(s.ttl)}
	}
}

// take writes the role's key if it is absent. The write is conditional, so it is repeated after a
// lost reply; the key's lease says whether an earlier try took effect.
func (s *Session) take(ctx context.Context, role string, id platform.LeaseID) (int64, error) {
	key := Key(role)
	txn := platform.Txn{
		If:   []platform.Compare{{Key: key, Target: platform.CompareCreateRevision, Revision: 0}},
		Then: []platform.Op{{Key: key, Value: []byte(s.holder), Lease: id}},
		Else: []platform.Op{{Key: key, Read: true}},
	}
	for attempt := 1; ; attempt++ {
		reply, err := s.kv.Txn(ctx, txn)
		switch {
		case err != nil && (attempt == acquireAttempts || !errors.Is(err, platform.ErrUnknown) || ctx.Err() != nil):
			return 0, err
		case err != nil:
			continue
		case reply.Succeeded:
			return reply.Revision, nil
		}
		for _, kv := range reply.Reads[0].KVs {
			if kv.Lease == id {
				return kv.CreateRevision, nil
			}
		}
		return 0, ErrHeld
	}
}

// Close revokes the lease, so that others can take its roles at once.
func (s *Session) Close(ctx context.Context) error {
	s.mu.Lock()
	id := s.id
	s.reset(0)
	s.mu.Unlock()
	if id == 0 {
		return nil
	}
	err := s.kv.Revoke(ctx, id)
	if err != nil && !errors.Is(err, platform.ErrLeaseNotFound) {
		return oops.With("step", "revoke lease").Wrap(err)
	}
	return nil
}

// Key returns the key of a role.
func Key(role string) string { return keyPrefix + role }
