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

// split encodes a configuration as parts. Empty workspace parts are left out.
func split(c *config.Config) (map[string][]byte, error) {
	parts := map[string][]byte{}
	raw, err := json.Marshal(base{c.Presets, c.Pools, c.Endpoints, c.Routes, c.Operators})
	if err != nil {
		return nil, err
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
	for name, raw := range parts {
		if len(raw) > platform.MaxValueSize {
			return nil, fmt.Errorf("part %s of the configuration has %d bytes, the limit is %d", name, len(raw), platform.MaxValueSize)
		}
	}
	return parts, nil
}

func workspacePart(workspace string) string {
	return fmt.Sprintf("workspaces-%02d", xxhash.Sum64String(workspace)%workspaceParts)
}

// part is a decoded part; only the field of its kind is set.
type part struct {
	digest     string
	base       base
	workspaces []config.Workspace
}

// decodePart decodes a part that must have the digest that the head names.
func decodePart(name string, ref partRef, raw []byte) (part, error) {
	p := part{digest: digest(raw)}
	if p.digest != ref.Digest {
		return p, fmt.Errorf("part %s of revision %d is missing or differs", name, ref.Revision)
	}
	var into any = &p.workspaces
	if name == partBase {
		into = &p.base
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return p, fmt.Errorf("part %s: %w", name, err)
	}
	return p, nil
}

// join decodes the parts of a head. It fails when a part is missing or is not the head's.
func (h *head) join(parts map[string][]byte) (*config.Config, error) {
	decoded := map[string]part{}
	for name, ref := range h.Parts {
		p, err := decodePart(name, ref, parts[name])
		if err != nil {
			return nil, err
		}
		decoded[name] = p
	}
	return h.combine(decoded), nil
}

// combine makes the configuration from the decoded parts. It shares their lists.
func (h *head) combine(parts map[string]part) *config.Config {
	c := &config.Config{Preset: h.Preset}
	if b, ok := parts[partBase]; ok {
		c.Presets, c.Pools, c.Endpoints = b.base.Presets, b.base.Pools, b.base.Endpoints
		c.Routes, c.Operators = b.base.Routes, b.base.Operators
	}
	for _, p := range parts {
		c.Workspaces = append(c.Workspaces, p.workspaces...)
	}
	sort.Slice(c.Workspaces, func(i, j int) bool { return c.Workspaces[i].Name < c.Workspaces[j].Name })
	return c
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
