package soak

import (
	"fmt"
	"time"

	"github.com/chivewind/chivewind/platform/managed/standin"
)

// storeCopies are copies of the store, oldest first.
type storeCopies []storeCopy

type storeCopy struct {
	at       time.Time
	snapshot *standin.Snapshot
}

func (c *storeCopies) take(store *standin.Store) {
	*c = append(*c, storeCopy{time.Now(), store.Snapshot()})
}

// olderThan returns the newest copy of at least the given age, or the oldest one.
func (c storeCopies) olderThan(age time.Duration) *standin.Snapshot {
	chosen := c[0]
	for _, copied := range c {
		if time.Since(copied.at) >= age {
			chosen = copied
		}
	}
	return chosen.snapshot
}

// writeAgain writes what the operator and the endpoints have written, after the store has come back from an older copy, and
// removes the entries of the endpoints that have ended since, as their leases do.
func (s *system) writeAgain() {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.writeConfig(version)
	for _, e := range s.endpoints {
		e.mu.Lock()
		current := e.instance
		e.publish()
		e.mu.Unlock()
		for ended := range current {
			time.AfterFunc(time.Second, func() { s.store.Delete(fmt.Sprintf("servers/e%d-%d", e.index, ended)) })
		}
	}
}
