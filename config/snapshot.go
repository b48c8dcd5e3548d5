package config

import (
	"fmt"
	"sort"
	"strings"
)

// Defaults of optional fields. DefaultFloor is a fraction of a shard's slots; the others are counts.
const (
	DefaultFloor     Percent = 0.02
	DefaultShardSize int     = 32
	DefaultMinSlots  int     = 1
	DefaultMaxSlots  int     = 64
)

// Shard is a group of endpoints of one pool that is managed by one scheduler.
type Shard struct {
	ID        string
	Pool      string
	Endpoints []string
}

// Snapshot is one indexed revision of the configuration. It is immutable, so that concurrent
// readers need no locks.
type Snapshot struct {
	Revision uint64
	Config   *Config

	// Classes holds the classes of the active preset by name. In Classes, Pools and Endpoints the optional
	// fields have their defaults filled in.
	Classes    map[string]Class
	Pools      map[string]Pool
	Endpoints  map[string]Endpoint
	Workspaces map[string]Workspace
	// Models maps a model name to the name of its pool.
	Models map[string]string
	// Shards lists the shards of all pools, pool by pool in the order of Config.Pools. PoolShards
	// indexes them by pool.
	Shards     []Shard
	PoolShards map[string][]Shard

	// workspaceByKeyHash maps the hash of an API key to the name of its workspace.
	workspaceByKeyHash map[string]string
}

// NewSnapshot indexes a valid configuration. It fails if the active preset is not defined.
func NewSnapshot(revision uint64, c *Config) (*Snapshot, error) {
	return (*Snapshot)(nil).Next(revision, c)
}

// Next indexes the configuration that follows s, which may be nil. If both configurations share
// their workspace list, the new snapshot also shares the workspace index: at 8,500 workspaces this
// index takes most of a snapshot's memory.
func (s *Snapshot) Next(revision uint64, c *Config) (*Snapshot, error) {
	next, err := newSnapshot(revision, c)
	if err != nil {
		return nil, err
	}
	if s != nil && s.Config.SharesWorkspaces(c) {
		next.Workspaces, next.workspaceByKeyHash = s.Workspaces, s.workspaceByKeyHash
		return next, nil
	}
	for _, w := range c.Workspaces {
		next.Workspaces[w.Name] = w
		for _, h := range w.KeyHashes {
			next.workspaceByKeyHash[h] = w.Name
		}
	}
	return next, nil
}

// SharesWorkspaces reports whether both configurations refer to the same non-empty workspace list in
// memory. It does not compare contents.
func (c *Config) SharesWorkspaces(other *Config) bool {
	a, b := c.Workspaces, other.Workspaces
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// newSnapshot indexes everything except the workspaces.
func newSnapshot(revision uint64, c *Config) (*Snapshot, error) {
	s := &Snapshot{
		Revision: revision, Config: c,
		Classes: map[string]Class{}, Pools: map[string]Pool{}, Endpoints: map[string]Endpoint{},
		Workspaces: map[string]Workspace{}, Models: map[string]string{},
		PoolShards: map[string][]Shard{}, workspaceByKeyHash: map[string]string{},
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

// buildShards partitions the endpoints of each pool into shards of at most ShardSize endpoints. It sorts them by
// zone and then by ID, so that few shards span availability zones.
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

// WorkspaceByKeyHash returns the workspace to which the hash of an API key belongs.
func (s *Snapshot) WorkspaceByKeyHash(hash string) (Workspace, bool) {
	name, ok := s.workspaceByKeyHash[hash]
	return s.Workspaces[name], ok
}

// HasKeys reports whether any workspace has an API key. If none has, callers name their workspace in
// the request.
func (s *Snapshot) HasKeys() bool { return len(s.workspaceByKeyHash) > 0 }

// RouteFor returns the route with the longest path prefix that matches path.
func (s *Snapshot) RouteFor(path string) (Route, bool) {
	var best Route
	for _, r := range s.Config.Routes {
		if strings.HasPrefix(path, r.Path) && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best, best.Path != ""
}

// FindPreset returns the preset with the given name.
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

// Has reports whether the endpoint has a capability.
func (e Endpoint) Has(c Capability) bool {
	for _, have := range e.Capabilities {
		if have == c {
			return true
		}
	}
	return false
}
