// Package config defines the dynamic configuration: classes in presets, pools, endpoints, routes,
// workspaces and operators. It reaches the running parts of a daemon as one immutable Snapshot.
package config

// Config is the whole dynamic configuration as operators write it.
type Config struct {
	// Preset names the preset in force.
	Preset     string      `yaml:"preset" json:"preset"`
	Presets    []Preset    `yaml:"presets" json:"presets"`
	Pools      []Pool      `yaml:"pools" json:"pools"`
	Endpoints  []Endpoint  `yaml:"endpoints" json:"endpoints"`
	Routes     []Route     `yaml:"routes" json:"routes"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	Operators  []Operator  `yaml:"operators,omitempty" json:"operators,omitempty"`
}

// Preset groups the settings of all classes. One preset is in force at a time.
type Preset struct {
	Name string `yaml:"name" json:"name"`
	// Revision is the configuration revision that last changed the preset. It is set by the
	// system and ignored in files.
	Revision uint64  `yaml:"revision,omitempty" json:"revision,omitempty"`
	Classes  []Class `yaml:"classes" json:"classes"`
}

// LateAction says what happens to a waiting request that can no longer meet its target.
type LateAction string

// The late actions.
const (
	LateShed   LateAction = "shed"
	LateDemote LateAction = "demote"
	LateServe  LateAction = "serve"
)

// Class is a request class within a preset.
type Class struct {
	Name string `yaml:"name" json:"name"`
	// Tier is the priority from 1 (highest) to 3.
	Tier int `yaml:"tier" json:"tier"`
	// FirstToken is the target for the time to the first token. At least one target is required.
	FirstToken Duration `yaml:"first_token,omitempty" json:"first_token,omitempty"`
	// BetweenTokens is the target for the time between tokens.
	BetweenTokens Duration `yaml:"between_tokens,omitempty" json:"between_tokens,omitempty"`
	// Total is the target for the time to the end of the answer.
	Total Duration `yaml:"total,omitempty" json:"total,omitempty"`
	// Floor is the share of each shard's slots kept for the class. Default 2%.
	Floor *Percent `yaml:"floor,omitempty" json:"floor,omitempty"`
	// Late is shed, demote or serve. Default shed.
	Late LateAction `yaml:"late,omitempty" json:"late,omitempty"`
	// MaxWait bounds the time in the queue. Default: the target bounds it.
	MaxWait Duration `yaml:"max_wait,omitempty" json:"max_wait,omitempty"`
}

// PoolKind says what the endpoints of a pool are.
type PoolKind string

// The kinds of pools.
const (
	KindEngine PoolKind = "engine"
	KindPlain  PoolKind = "plain"
)

// Pool is a group of endpoints that can serve the same requests.
type Pool struct {
	Name string   `yaml:"name" json:"name"`
	Kind PoolKind `yaml:"kind" json:"kind"`
	// Model is the model's name in callers' requests; only for engine pools.
	Model string `yaml:"model,omitempty" json:"model,omitempty"`
	// ShardSize is the largest number of endpoints that one scheduler handles. Default 32.
	ShardSize int `yaml:"shard_size,omitempty" json:"shard_size,omitempty"`
}

// Fencing says whether an endpoint checks fencing tokens of commands.
type Fencing string

// The values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
	FencingUnknown Fencing = "unknown"
)

// Capability is an optional feature of an engine.
type Capability string

// The capabilities.
const (
	CapPriority    Capability = "priority"
	CapResume      Capability = "resume"
	CapLoad        Capability = "load"
	CapCacheEvents Capability = "cache_events"
	CapCommands    Capability = "commands"
)

// Endpoint is one back end.
type Endpoint struct {
	ID   string `yaml:"id" json:"id"`
	Pool string `yaml:"pool" json:"pool"`
	// URL is the base address, for example http://10.0.0.7:8000.
	URL  string `yaml:"url" json:"url"`
	Zone string `yaml:"zone" json:"zone"`
	// VM is the platform's name of the VM; it links the endpoint to the VM list.
	VM       string   `yaml:"vm,omitempty" json:"vm,omitempty"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// MinSlots and MaxSlots bound the concurrent requests. Defaults 1 and 64.
	MinSlots     int          `yaml:"min_slots,omitempty" json:"min_slots,omitempty"`
	MaxSlots     int          `yaml:"max_slots,omitempty" json:"max_slots,omitempty"`
	Capabilities []Capability `yaml:"capabilities,omitempty" json:"capabilities,omitempty"`
	// Fencing is checked, ignored or unknown. Default unknown, which is treated as ignored.
	Fencing Fencing `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// Drain stops new work to the endpoint.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
}

// Route sends plain requests under a path prefix to a pool.
type Route struct {
	// Path is the prefix, for example /services/bookings/.
	Path string `yaml:"path" json:"path"`
	Pool string `yaml:"pool" json:"pool"`
	// Class is used when the caller names none. Default: the workspace's default class.
	Class string `yaml:"class,omitempty" json:"class,omitempty"`
	// NonIdempotent lists methods whose calls run at most once; they need an Idempotency-Key.
	NonIdempotent []string `yaml:"non_idempotent,omitempty" json:"non_idempotent,omitempty"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes are SHA-256 hashes (hex) of the workspace's keys.
	KeyHashes []string `yaml:"key_hashes,omitempty" json:"key_hashes,omitempty"`
	// Classes lists the classes that the workspace may use. Empty means all.
	Classes      []string `yaml:"classes,omitempty" json:"classes,omitempty"`
	DefaultClass string   `yaml:"default_class" json:"default_class"`
	// Weight is the workspace's share of a class relative to others. Default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
}

// Role says what an operator may do; each role includes the ones before it.
type Role string

// The roles.
const (
	RoleRead   Role = "read"
	RoleSwitch Role = "switch"
	RoleEdit   Role = "edit"
)

// Operator is a person or program that administers the system.
type Operator struct {
	Name    string `yaml:"name" json:"name"`
	KeyHash string `yaml:"key_hash" json:"key_hash"`
	Role    Role   `yaml:"role" json:"role"`
}
