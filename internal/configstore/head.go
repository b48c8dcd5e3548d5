package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/platform"
)

const (
	// dataPrefix is the key prefix of the head and the parts. The watch covers all keys under it.
	dataPrefix = "config/"
	keyHead    = dataPrefix + "head"
	partPrefix = dataPrefix + "part/"
	// partBase is the name of the part that holds everything except the workspaces.
	partBase = "base"
	// workspacePartCount is the number of parts over which the workspaces are distributed, so that each
	// part stays far below the size limit of a value.
	workspacePartCount = 64
	// maxHeadAttempts is the number of recent attempt IDs that the head retains. An attempt is one change
	// requested by an operator. It keeps its ID when its commit is tried again after a concurrent change.
	maxHeadAttempts = 64
)

// head is the manifest of a revision of the configuration. It lists the parts of the revision with their
// digests.
type head struct {
	Revision uint64             `json:"revision"`
	Preset   string             `json:"preset"`
	Parts    map[string]partRef `json:"parts"`
	Attempts []attemptRef       `json:"attempts"`
}

// partRef identifies the content of one part.
type partRef struct {
	// Revision is the configuration revision that last changed the part.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// attemptRef records the revision that an accepted attempt to change the configuration created.
type attemptRef struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// acceptedRevision returns the revision that an attempt created, if the head still lists the attempt.
func (h *head) acceptedRevision(attempt string) (uint64, bool) {
	for _, a := range h.Attempts {
		if a.ID == attempt {
			return a.Revision, true
		}
	}
	return 0, false
}

// storedState is the configuration as stored in the key-value service: the head, its encoding and
// modification revision, the parts by name, and the decoded configuration.
type storedState struct {
	head        head
	rawHead     []byte
	modRevision int64
	// nextRevision is the revision of the next change. It is above that of the head and above that of the
	// active snapshot, which is newer than the head if the service has lost data.
	nextRevision uint64
	parts        map[string][]byte
	config       *config.Config
}

// decodeHead returns the head, its encoding and its modification revision. An absent key yields a head of
// revision 0 without parts.
func decodeHead(kvs []platform.KeyValue) (head, []byte, int64, error) {
	if len(kvs) == 0 {
		return head{}, nil, 0, nil
	}
	var h head
	if err := json.Unmarshal(kvs[0].Value, &h); err != nil {
		return head{}, nil, 0, fmt.Errorf("configuration head: %w", err)
	}
	return h, kvs[0].Value, kvs[0].ModRevision, nil
}

// baseContent is the content of the part partBase.
type baseContent struct {
	Presets   []config.Preset   `json:"presets"`
	Pools     []config.Pool     `json:"pools"`
	Endpoints []config.Endpoint `json:"endpoints"`
	Routes    []config.Route    `json:"routes"`
	Operators []config.Operator `json:"operators"`
}

// encodeParts encodes a configuration as parts by name. Empty workspace parts are left out. If c shares the
// workspace list of last, the encoded workspace parts of last are reused.
func encodeParts(c *config.Config, last *storedState) (map[string][]byte, error) {
	parts := map[string][]byte{}
	raw, err := json.Marshal(baseContent{c.Presets, c.Pools, c.Endpoints, c.Routes, c.Operators})
	if err != nil {
		return nil, err
	}
	if last != nil && last.config.SharesWorkspaces(c) {
		for name := range last.head.Parts {
			parts[name] = last.parts[name]
		}
		parts[partBase] = raw
		return parts, checkSizes(parts)
	}
	parts[partBase] = raw
	groups := map[string][]config.Workspace{}
	for _, w := range c.Workspaces {
		name := workspacePart(w.Name)
		groups[name] = append(groups[name], w)
	}
	for name, group := range groups {
		sort.Slice(group, func(i, j int) bool { return group[i].Name < group[j].Name })
		if parts[name], err = json.Marshal(group); err != nil {
			return nil, err
		}
	}
	return parts, checkSizes(parts)
}

// checkSizes returns an error if a part exceeds the size limit of a value in the key-value service.
func checkSizes(parts map[string][]byte) error {
	for name, raw := range parts {
		if len(raw) > platform.MaxValueSize {
			return fmt.Errorf("part %s of the configuration has %d bytes, the limit is %d", name, len(raw), platform.MaxValueSize)
		}
	}
	return nil
}

// workspacePart returns the name of the part that holds a workspace.
func workspacePart(workspace string) string {
	return fmt.Sprintf("workspaces-%02d", xxhash.Sum64String(workspace)%workspacePartCount)
}

// decodeParts decodes the parts of a head. It fails if a part is missing, does not match the head's
// digest or cannot be decoded. Workspaces of parts that are unchanged since last are reused from there.
func (h *head) decodeParts(parts map[string][]byte, last *decodedConfig) (*config.Config, error) {
	c := &config.Config{Preset: h.Preset}
	reused := map[string]bool{}
	for name, ref := range h.Parts {
		if name != partBase && last.hasPart(name, ref) {
			reused[name] = true
			continue
		}
		raw := parts[name]
		if digest(raw) != ref.Digest {
			return nil, fmt.Errorf("part %s of revision %d is missing or differs", name, h.Revision)
		}
		if name == partBase {
			var b baseContent
			if err := json.Unmarshal(raw, &b); err != nil {
				return nil, fmt.Errorf("part %s: %w", name, err)
			}
			c.Presets, c.Pools, c.Endpoints, c.Routes, c.Operators = b.Presets, b.Pools, b.Endpoints, b.Routes, b.Operators
			continue
		}
		var group []config.Workspace
		if err := json.Unmarshal(raw, &group); err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
		c.Workspaces = append(c.Workspaces, group...)
	}
	last.reuseWorkspaces(c, reused)
	return c, nil
}

// decodedConfig caches a decoded configuration with the references of its parts. Most changes affect few
// workspaces; with 8,500 workspaces, decoding all of them again for each change would take about 50 ms of
// processor time and more memory than all other state of a daemon. A nil *decodedConfig is an empty cache.
type decodedConfig struct {
	parts  map[string]partRef
	config *config.Config
}

// hasPart reports whether the cached configuration has a part with the same content.
func (d *decodedConfig) hasPart(name string, ref partRef) bool {
	return d != nil && d.parts[name].Digest == ref.Digest
}

// reuseWorkspaces adds the cached workspaces of the reused parts to c and sorts all workspaces by name. If
// all parts are reused, c shares the cached list.
func (d *decodedConfig) reuseWorkspaces(c *config.Config, reused map[string]bool) {
	if d != nil && len(c.Workspaces) == 0 && len(reused) == d.countWorkspaceParts() {
		c.Workspaces = d.config.Workspaces
		return
	}
	if len(reused) > 0 {
		for _, w := range d.config.Workspaces {
			if reused[workspacePart(w.Name)] {
				c.Workspaces = append(c.Workspaces, w)
			}
		}
	}
	sort.Slice(c.Workspaces, func(i, j int) bool { return c.Workspaces[i].Name < c.Workspaces[j].Name })
}

func (d *decodedConfig) countWorkspaceParts() int {
	n := len(d.parts)
	if _, ok := d.parts[partBase]; ok {
		n--
	}
	return n
}

// digest returns the first 16 bytes of the SHA-256 hash of raw, in hex.
func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// successor returns the head of the next revision and the names of the parts that changed or were removed.
// If revisions are skipped, daemons may have newer parts than the old head lists; therefore all parts are
// treated as changed.
func (h *head) successor(revision uint64, preset, attempt string, parts map[string][]byte) (
	next head, changed, removed []string,
) {
	next = head{Revision: revision, Preset: preset, Parts: map[string]partRef{}}
	for name, raw := range parts {
		d := digest(raw)
		if old, ok := h.Parts[name]; ok && old.Digest == d && revision == h.Revision+1 {
			next.Parts[name] = old
			continue
		}
		next.Parts[name] = partRef{Revision: next.Revision, Digest: d}
		changed = append(changed, name)
	}
	for name := range h.Parts {
		if _, ok := parts[name]; !ok {
			removed = append(removed, name)
		}
	}
	sort.Strings(changed)
	sort.Strings(removed)
	next.Attempts = append(next.Attempts, h.Attempts[max(0, len(h.Attempts)-maxHeadAttempts+1):]...)
	next.Attempts = append(next.Attempts, attemptRef{attempt, next.Revision})
	return next, changed, removed
}

// setPresetRevisions returns presets with their revisions set: the given revision for new and changed
// presets, else the revision from the old configuration.
func setPresetRevisions(presets []config.Preset, old *config.Config, revision uint64) []config.Preset {
	out := make([]config.Preset, 0, len(presets))
	for _, p := range presets {
		p.Revision = revision
		if before, ok := old.FindPreset(p.Name); ok {
			p.Revision = before.Revision
			if !equalJSON(before, p) {
				p.Revision = revision
			}
		}
		out = append(out, p)
	}
	return out
}

// equalJSON reports whether two items have the same JSON encoding, in which nil and empty lists of
// omitempty fields are equal.
func equalJSON(a, b any) bool { return toJSON(a) == toJSON(b) }

// toJSON returns the JSON encoding of v, or the text of the encoding error.
func toJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(raw)
}
