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
	// dataPrefix is the prefix of the head and the parts, which are watched.
	dataPrefix = "config/"
	keyHead    = dataPrefix + "head"
	partPrefix = dataPrefix + "part/"
	// partBase holds all but the workspaces.
	partBase = "base"
	// workspaceParts is the number of parts that hold workspaces, so that each stays far below the
	// size limit of a value.
	workspaceParts = 64
	// keptAttempts is the number of attempt ids in the head.
	keptAttempts = 64
)

// head is the value that makes a revision of the configuration: the parts belong to it by digest.
type head struct {
	Revision uint64             `json:"revision"`
	Preset   string             `json:"preset"`
	Parts    map[string]partRef `json:"parts"`
	Attempts []attemptRef       `json:"attempts"`
}

// partRef names the content of one part.
type partRef struct {
	// Revision is the configuration revision that last changed the part.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// attemptRef says which revision an accepted attempt made.
type attemptRef struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// accepted returns the revision that an attempt made.
func (h *head) accepted(attempt string) (uint64, bool) {
	for _, a := range h.Attempts {
		if a.ID == attempt {
			return a.Revision, true
		}
	}
	return 0, false
}

// state is what the service holds: the head, its modification revision and the parts by name.
type state struct {
	head     head
	raw      []byte
	modified int64
	// next is the revision of a change: above the head and above the snapshot in force, which is
	// newer than the head when the service has lost data.
	next   uint64
	parts  map[string][]byte
	config *config.Config
}

// decodeHead reads the head; an absent key is a head without configuration.
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

// base is the content of the base part.
type base struct {
	Presets   []config.Preset   `json:"presets"`
	Pools     []config.Pool     `json:"pools"`
	Endpoints []config.Endpoint `json:"endpoints"`
	Routes    []config.Route    `json:"routes"`
	Operators []config.Operator `json:"operators"`
}

// split encodes a configuration as parts. Empty workspace parts are left out. It takes the parts of
// the workspaces from last when they are the same.
func split(c *config.Config, last *state) (map[string][]byte, error) {
	parts := map[string][]byte{}
	raw, err := json.Marshal(base{c.Presets, c.Pools, c.Endpoints, c.Routes, c.Operators})
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

func checkSizes(parts map[string][]byte) error {
	for name, raw := range parts {
		if len(raw) > platform.MaxValueSize {
			return fmt.Errorf("part %s of the configuration has %d bytes, the limit is %d", name, len(raw), platform.MaxValueSize)
		}
	}
	return nil
}

func workspacePart(workspace string) string {
	return fmt.Sprintf("workspaces-%02d", xxhash.Sum64String(workspace)%workspaceParts)
}

// join decodes the parts of a head. It fails when a part is missing or is not the head's. It takes
// the workspaces of the parts that last already has from there.
func (h *head) join(parts map[string][]byte, last *assembled) (*config.Config, error) {
	c := &config.Config{Preset: h.Preset}
	kept := map[string]bool{}
	for name, ref := range h.Parts {
		if name != partBase && last.has(name, ref) {
			kept[name] = true
			continue
		}
		raw := parts[name]
		if digest(raw) != ref.Digest {
			return nil, fmt.Errorf("part %s of revision %d is missing or differs", name, h.Revision)
		}
		if name == partBase {
			var b base
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
	last.addWorkspaces(c, kept)
	return c, nil
}

// assembled is a configuration that was decoded, with its parts. Most changes leave most of the
// workspaces as they are; decoding 8,500 of them again for each change would cost about 50 ms of
// processor time and more memory than all other state of a daemon.
type assembled struct {
	parts  map[string]partRef
	config *config.Config
}

func (a *assembled) has(name string, ref partRef) bool {
	return a != nil && a.parts[name].Digest == ref.Digest
}

// addWorkspaces adds the workspaces of the kept parts and restores the order by name.
func (a *assembled) addWorkspaces(c *config.Config, kept map[string]bool) {
	if a != nil && len(c.Workspaces) == 0 && len(kept) == a.workspaceParts() {
		c.Workspaces = a.config.Workspaces
		return
	}
	if len(kept) > 0 {
		for _, w := range a.config.Workspaces {
			if kept[workspacePart(w.Name)] {
				c.Workspaces = append(c.Workspaces, w)
			}
		}
	}
	sort.Slice(c.Workspaces, func(i, j int) bool { return c.Workspaces[i].Name < c.Workspaces[j].Name })
}

func (a *assembled) workspaceParts() int {
	n := len(a.parts)
	if _, ok := a.parts[partBase]; ok {
		n--
	}
	return n
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// next returns the head of a revision after a change, and the names of the parts that changed or
// went. When revisions are skipped, daemons may have newer parts than the head names, so all parts
// count as changed.
func (h *head) next(revision uint64, preset, attempt string, parts map[string][]byte) (n head, changed, gone []string) {
	n = head{Revision: revision, Preset: preset, Parts: map[string]partRef{}}
	for name, raw := range parts {
		d := digest(raw)
		if old, ok := h.Parts[name]; ok && old.Digest == d && revision == h.Revision+1 {
			n.Parts[name] = old
			continue
		}
		n.Parts[name] = partRef{Revision: n.Revision, Digest: d}
		changed = append(changed, name)
	}
	for name := range h.Parts {
		if _, ok := parts[name]; !ok {
			gone = append(gone, name)
		}
	}
	sort.Strings(changed)
	sort.Strings(gone)
	n.Attempts = append(n.Attempts, h.Attempts[max(0, len(h.Attempts)-keptAttempts+1):]...)
	n.Attempts = append(n.Attempts, attemptRef{attempt, n.Revision})
	return n, changed, gone
}

// stampPresets sets the revision of each preset: the new one where its content changed.
func stampPresets(presets []config.Preset, old *config.Config, revision uint64) []config.Preset {
	out := make([]config.Preset, 0, len(presets))
	for _, p := range presets {
		p.Revision = revision
		if before, ok := old.FindPreset(p.Name); ok {
			p.Revision = before.Revision
			if !same(before, p) {
				p.Revision = revision
			}
		}
		out = append(out, p)
	}
	return out
}

// same compares two items by their encoded form, in which absent and empty lists are equal to a reader.
func same(a, b any) bool { return encode(a) == encode(b) }

func encode(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(raw)
}
