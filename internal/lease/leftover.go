package lease

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/platform"
)

// cleanUp removes role keys that have no holder.
func (s *Session) cleanUp(ctx context.Context) error {
	s.mu.Lock()
	id := s.id
	var roles []string
	for role := range s.leftovers {
		roles = append(roles, role)
	}
	s.mu.Unlock()
	for _, role := range roles {
		if err := s.finishRelease(ctx, id, role); err != nil {
			return err
		}
		if err := s.removeUnheld(ctx, id, role); err != nil {
			return err
		}
	}
	return nil
}

// finishRelease deletes the key of a release whose reply may have been lost. After any reply the
// key with this token is gone for good.
func (s *Session) finishRelease(ctx context.Context, id platform.LeaseID, role string) error {
	left, ok := s.leftover(id, role)
	if !ok || left.token == 0 {
		return nil
	}
	if err := s.remove(ctx, role, left.token); err != nil {
		return err
	}
	s.forget(id, role, left)
	return nil
}

// removeUnheld deletes a key that an acquisition without reply has left.
func (s *Session) removeUnheld(ctx context.Context, id platform.LeaseID, role string) error {
	left, ok := s.leftover(id, role)
	if !ok || left.token != 0 {
		return nil
	}
	reply, err := s.kv.Range(ctx, platform.RangeRequest{Key: Key(role)})
	if err != nil {
		return err
	}
	for _, kv := range reply.KVs {
		s.mu.Lock()
		_, held := s.holders[role]
		if kv.Lease == id && !held && s.id == id {
			// Marked as a release, so that an acquisition meanwhile does not take the key over.
			s.leftovers[role] = leftover{token: kv.CreateRevision}
		}
		s.mu.Unlock()
	}
	if err := s.finishRelease(ctx, id, role); err != nil {
		return err
	}
	if time.Now().After(left.until) {
		s.forget(id, role, left)
	}
	return nil
}

func (s *Session) remove(ctx context.Context, role string, token int64) error {
	_, err := s.kv.Txn(ctx, platform.Txn{
		If:   []platform.Compare{fence(role, token)},
		Then: []platform.Op{{Key: Key(role), Delete: true}},
	})
	return err
}

func (s *Session) leftover(id platform.LeaseID, role string) (leftover, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left, ok := s.leftovers[role]
	return left, ok && s.id == id
}

func (s *Session) forget(id platform.LeaseID, role string, left leftover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id && s.leftovers[role] == left {
		delete(s.leftovers, role)
	}
}
