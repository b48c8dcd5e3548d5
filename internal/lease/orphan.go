package lease

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/platform"
)

// deleteOrphans deletes the role keys whose role is not held.
func (s *Session) deleteOrphans(ctx context.Context) error {
	s.mu.Lock()
	id := s.id
	var roles []string
	for role := range s.orphans {
		roles = append(roles, role)
	}
	s.mu.Unlock()
	for _, role := range roles {
		if err := s.finishRelease(ctx, id, role); err != nil {
			return err
		}
		if err := s.deleteUnheld(ctx, id, role); err != nil {
			return err
		}
	}
	return nil
}

// finishRelease deletes the key of a release whose reply may have been lost. Once the store has
// replied, the key with this token does not exist and cannot reappear.
func (s *Session) finishRelease(ctx context.Context, id platform.LeaseID, role string) error {
	o, ok := s.lookupOrphan(id, role)
	if !ok || o.token == 0 {
		return nil
	}
	if err := s.deleteKey(ctx, role, o.token); err != nil {
		return err
	}
	s.dropOrphan(id, role, o)
	return nil
}

// deleteUnheld deletes a key that an acquisition without a reply may have created.
func (s *Session) deleteUnheld(ctx context.Context, id platform.LeaseID, role string) error {
	o, ok := s.lookupOrphan(id, role)
	if !ok || o.token != 0 {
		return nil
	}
	reply, err := s.kv.Range(ctx, platform.RangeRequest{Key: Key(role)})
	if err != nil {
		return err
	}
	for _, kv := range reply.KVs {
		s.mu.Lock()
		_, held := s.tokens[role]
		if kv.Lease == id && !held && s.id == id {
			// Recorded as a release, so that a concurrent acquisition does not reuse the key.
			s.orphans[role] = orphan{token: kv.ModRevision}
		}
		s.mu.Unlock()
	}
	if err := s.finishRelease(ctx, id, role); err != nil {
		return err
	}
	if time.Now().After(o.until) {
		s.dropOrphan(id, role, o)
	}
	return nil
}

func (s *Session) deleteKey(ctx context.Context, role string, token int64) error {
	_, err := s.kv.Txn(ctx, platform.Txn{
		If:   []platform.Compare{fence(role, token)},
		Then: []platform.Op{{Key: Key(role), Delete: true}},
	})
	return err
}

func (s *Session) lookupOrphan(id platform.LeaseID, role string) (orphan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.orphans[role]
	return o, ok && s.id == id
}

func (s *Session) dropOrphan(id platform.LeaseID, role string, o orphan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id && s.orphans[role] == o {
		delete(s.orphans, role)
	}
}
