package configstore

import (
	"encoding/json"
	"strings"

	"github.com/chivewind/chivewind/config"
)

// The names of the replicated documents are the keys of the service.
func isConfigDocument(name string) bool { return strings.HasPrefix(name, dataPrefix) }

// publish spreads the parts and then the head, so that receivers of a head find its parts.
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

// assemble makes a snapshot from the documents. It returns false when the newest head is missing
// or lacks parts.
func (s *Store) assemble() bool {
	s.assembling.Lock()
	defer s.assembling.Unlock()
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
		s.Log.Error("configuration head is malformed", "revision", version, "error", err)
		return false
	}
	parts := map[string][]byte{}
	for name, ref := range h.Parts {
		if have, content := s.Documents.Get(partPrefix + name); have == ref.Revision {
			parts[name] = content
		}
	}
	c, err := h.join(parts, s.last.Load())
	if err != nil {
		s.Log.Debug("configuration is incomplete", "revision", h.Revision, "error", err)
		return false
	}
	snapshot, err := current.Next(h.Revision, c)
	if err != nil {
		s.Log.Error("configuration cannot be indexed", "revision", h.Revision, "error", err)
		return false
	}
	s.last.Store(&assembled{parts: h.Parts, config: c})
	s.activate(snapshot)
	return true
}

// activate puts a snapshot in force. The caller holds assembling.
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
