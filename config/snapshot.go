package config

import (
	"fmt"
	"sort"
	"strings"
)

// Defaults of optional fields.
const (
	DefaultFloor     Percent = 0.02
	DefaultShardSize int     = 32
	DefaultMinSlots  int     = 1
	DefaultMaxSlots  int     = 64
)

// Shard is a group of endpoints of one pool that one scheduler handles.
type Shard struct {
	ID        string
	Pool      string
	Endpoints []string
}

// Snapshot is one revision of the configuration with its indexes. It is immutable:
// readers share it without locks.
type Snapshot struct {
	Revision uint64
	Config   *Config

	Classes    map[string]Class
	Pools      map[string]Pool
	Endpoints  map[string]Endpoint
	Workspaces map[string]Workspace
	// Models maps a model's name to its pool.
	Models map[string]string
	// Shards is sorted by id; PoolShards indexes it by pool.
	Shards     []Shard
	PoolShards map[string][]Shard

	// keys maps a key hash to its workspace.
	keys map[string]string
}

// NewSnapshot indexes a valid configuration.
func NewSnapshot(revision uint64, c *Config) (*Snapshot, error) {
	return (*Snapshot)(nil).Next(revision, c)
}

// Next indexes the configuration that follows s, which may be nil. It shares the index of the
// workspaces when both configurations share their list: at 8,500 workspaces this index is most of
// a snapshot's memory.
func (s *Snapshot) Next(revision uint64, c *Config) (*Snapshot, error) {
	next, err := newSnapshot(revision, c)
	if err != nil {
		return nil, err
	}
	if s != nil && s.Config.SharesWorkspaces(c) {
		next.Workspaces, next.keys = s.Workspaces, s.keys
		return next, nil
	}
	for _, w := range c.Workspaces {
		next.Workspaces[w.Name] = w
		for _, h := range w.KeyHashes {
			next.keys[h] = w.Name
		}
	}
	return next, nil
}

// SharesWorkspaces says whether two configurations have one list of workspaces in memory.
func (c *Config) SharesWorkspaces(other *Config) bool {
	a, b := c.Workspaces, other.Workspaces
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// newSnapshot indexes all but the workspaces.
func newSnapshot(revision uint64, c *Config) (*Snapshot, error) {
	s := &Snapshot{
		Revision: revision, Config: c,
		Classes: map[string]Class{}, Pools: map[string]Pool{}, Endpoints: map[string]Endpoint{},
		Workspaces: map[string]Workspace{}, Models: map[string]string{},
		PoolShards: map[string][]Shard{}, keys: map[string]string{},
	}
	preset, ok := c.FindPreset(c.Preset)
	if !ok {
		return nil, fmt.Errorf("preset %q is not defined", c.Preset)
	}
	for _, class := range preset.Classes {
		s.Classes[class.Name] = class.withDefaults()
	}
	for _, p := range c.Pools {
		if p.ShardSize == 0 {
			p.ShardSize = DefaultShardSize
		}
		s.Pools[p.Name] = p
		if p.Model != "" {
			s.Models[p.Model] = p.Name
		}
	}
	for _, e := range c.Endpoints {
		s.Endpoints[e.ID] = e.withDefaults()
	}
	s.buildShards()
	return s, nil
}

// buildShards splits each pool into shards of consecutive endpoints sorted by zone and id, so that
// a shard stays within one availability zone where the sizes allow it.
func (s *Snapshot) buildShards() {
	members := map[string][]Endpoint{}
	for _, e := range s.Endpoints {
		members[e.Pool] = append(members[e.Pool], e)
	}
	for _, p := range s.Config.Pools {
		list := members[p.Name]
		sort.Slice(list, func(i, j int) bool {
			if list[i].Zone != list[j].Zone {
				return list[i].Zone < list[j].Zone
			}
			return list[i].ID < list[j].ID
		})
		size := s.Pools[p.Name].ShardSize
		for n := 0; n*size < len(list); n++ {
			shard := Shard{ID: fmt.Sprintf("%s/%d", p.Name, n), Pool: p.Name}
			for _, e := range list[n*size : min((n+1)*size, len(list))] {
				shard.Endpoints = append(shard.Endpoints, e.ID)
			}
			s.PoolShards[p.Name] = append(s.PoolShards[p.Name], shard)
			s.Shards = append(s.Shards, shard)
		}
	}
}

// WorkspaceByKeyHash returns the workspace that a key hash is bound to.
func (s *Snapshot) WorkspaceByKeyHash(hash string) (Workspace, bool) {
	name, ok := s.keys[hash]
	return s.Workspaces[name], ok
}

// HasKeys says whether any workspace has a key. Without keys, callers name their workspace.
func (s *Snapshot) HasKeys() bool { return len(s.keys) > 0 }

// RouteFor returns the route with the longest prefix of path.
func (s *Snapshot) RouteFor(path string) (Route, bool) {
	var best Route
	for _, r := range s.Config.Routes {
		if strings.HasPrefix(path, r.Path) && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best, best.Path != ""
}

// FindPreset returns the preset with a name.
func (c *Config) FindPreset(name string) (Preset, bool) {
	for _, p := range c.Presets {
		if p.Name == name {
			return p, true
		}
	}
	return Preset{}, false
}

func (c Class) withDefaults() Class {
	if c.Floor == nil {
		f := DefaultFloor
		c.Floor = &f
	}
	if c.Late == "" {
		c.Late = LateShed
	}
	return c
}

func (e Endpoint) withDefaults() Endpoint {
	if e.MinSlots == 0 {
		e.MinSlots = DefaultMinSlots
	}
	if e.MaxSlots == 0 {
		e.MaxSlots = DefaultMaxSlots
	}
	if e.Fencing == "" {
		e.Fencing = FencingUnknown
	}
	return e
}

// Has says whether the endpoint has a capability.
func (e Endpoint) Has(c Capability) bool {
	for _, have := range e.Capabilities {
		if have == c {
			return true
		}
	}
	return false
}
