package configstore

import (
	"encoding/json"
	"strings"

	"github.com/chivewind/chivewind/config"
)

// isConfigDocument reports whether a replicated document is part of the configuration. The documents have
// the names of the corresponding keys in the key-value service.
func isConfigDocument(name string) bool { return strings.HasPrefix(name, dataPrefix) }

// publish replicates the parts and then the head to the other daemons; in this order, a daemon that
// receives a head usually has its parts. Older heads, and different heads of the same revision, are not
// published.
func (s *Store) publish(h *head, raw []byte, parts map[string][]byte) {
	if h.Revision == 0 {
		return
	}
	have, content := s.Documents.Get(keyHead)
	switch {
	case have > h.Revision:
		s.counters.olderHeads.Inc(1)
		s.Log.Warn("kept out an older configuration", "revision", h.Revision, "have", have)
		return
	case have == h.Revision && string(content) != string(raw):
		s.counters.divergentHeads.Inc(1)
		s.Log.Error("kept out a different configuration of the same revision", "revision", have)
		return
	}
	for name, ref := range h.Parts {
		if have, _ := s.Documents.Get(partPrefix + name); have >= ref.Revision {
			continue
		}
		if content := parts[name]; digest(content) == ref.Digest {
			s.Documents.Publish(partPrefix+name, ref.Revision, content)
		}
	}
	s.Documents.Publish(keyHead, h.Revision, raw)
}

// assemble builds the snapshot of the newest head from the replicated documents and activates it, unless the
// active snapshot is as new. It reports whether this daemon then has a snapshot that is at least as new as
// the newest head: it returns false if there is neither a head nor a snapshot, if a part of the head is
// missing, or if the head or a part cannot be used.
func (s *Store) assemble() bool {
	s.assembleMu.Lock()
	defer s.assembleMu.Unlock()
	version, raw := s.Documents.Get(keyHead)
	current := s.Snapshot()
	if version == 0 {
		return current != nil
	}
	if current != nil && version <= current.Revision {
		return true
	}
	var h head
	if err := json.Unmarshal(raw, &h); err != nil {
		s.Log.Error("cannot decode the configuration head", "revision", version, "error", err)
		return false
	}
	parts := map[string][]byte{}
	for name, ref := range h.Parts {
		if have, content := s.Documents.Get(partPrefix + name); have == ref.Revision {
			parts[name] = content
		}
	}
	c, err := h.decodeParts(parts, s.lastDecoded.Load())
	if err != nil {
		s.Log.Debug("configuration is incomplete", "revision", h.Revision, "error", err)
		return false
	}
	snapshot, err := current.Next(h.Revision, c)
	if err != nil {
		s.Log.Error("configuration cannot be indexed", "revision", h.Revision, "error", err)
		return false
	}
	s.lastDecoded.Store(&decodedConfig{parts: h.Parts, config: c})
	s.activate(snapshot)
	return true
}

// activate makes a snapshot the current one and notifies the subscribers. The caller holds assembleMu.
func (s *Store) activate(snapshot *config.Snapshot) {
	s.snapshot.Store(snapshot)
	s.counters.revision.Update(int64(snapshot.Revision))
	s.Log.Info("configuration in force", "revision", snapshot.Revision, "preset", snapshot.Config.Preset)
	s.mu.Lock()
	subscribers := s.subscribers
	s.mu.Unlock()
	for _, f := range subscribers {
		f(snapshot)
	}
}
