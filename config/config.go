// Package config defines the dynamic configuration: classes in presets, pools, endpoints, routes,
// workspaces and operators. The components of a daemon read it as one immutable Snapshot.
package config

// Config is the complete dynamic configuration as operators write it.
type Config struct {
	// Preset is the name of the active preset.
	Preset     string      `yaml:"preset" json:"preset"`
	Presets    []Preset    `yaml:"presets" json:"presets"`
	Pools      []Pool      `yaml:"pools" json:"pools"`
	Endpoints  []Endpoint  `yaml:"endpoints" json:"endpoints"`
	Routes     []Route     `yaml:"routes" json:"routes"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	Operators  []Operator  `yaml:"operators,omitempty" json:"operators,omitempty"`
}

// Preset groups the settings of all classes. Exactly one preset is active at a time.
type Preset struct {
	Name string `yaml:"name" json:"name"`
	// Revision is the configuration revision that last changed the preset. It is set by the system. A value in a
	// configuration file is ignored. In a file for `chivewind preset apply` it is the revision on which the edit is
	// based, unless the --revision flag is given.
	Revision uint64  `yaml:"revision,omitempty" json:"revision,omitempty"`
	Classes  []Class `yaml:"classes" json:"classes"`
}

// LateAction is the treatment of a queued request that can no longer meet its latency target.
type LateAction string

// Values of LateAction.
const (
	// LateShed refuses the request.
	LateShed LateAction = "shed"
	// LateDemote runs the request after all requests of its tier that can still meet their targets.
	LateDemote LateAction = "demote"
	// LateServe keeps the request's position in the queue.
	LateServe LateAction = "serve"
)

// Class defines the latency targets and scheduling parameters of a request class within a preset.
type Class struct {
	Name string `yaml:"name" json:"name"`
	// Tier is the priority, from 1 (highest) to 3 (MaxTier).
	Tier int `yaml:"tier" json:"tier"`
	// FirstToken is the target for the time to first token. At least one target is required.
	FirstToken Duration `yaml:"first_token,omitempty" json:"first_token,omitempty"`
	// BetweenTokens is the target for the inter-token latency.
	BetweenTokens Duration `yaml:"between_tokens,omitempty" json:"between_tokens,omitempty"`
	// Total is the target for the time to the end of the response.
	Total Duration `yaml:"total,omitempty" json:"total,omitempty"`
	// Floor is the share of each shard's slots that is reserved for the class. Default 2%.
	Floor *Percent `yaml:"floor,omitempty" json:"floor,omitempty"`
	// Late is shed, demote or serve. Default shed.
	Late LateAction `yaml:"late,omitempty" json:"late,omitempty"`
	// MaxWait is the longest time that a request may spend in the queue. Without it, only shedding as set by Late
	// and the request's own deadline limit that time.
	MaxWait Duration `yaml:"max_wait,omitempty" json:"max_wait,omitempty"`
}

// PoolKind is the type of the endpoints of a pool.
type PoolKind string

// Values of PoolKind.
const (
	// KindEngine endpoints are inference engines, which serve a model.
	KindEngine PoolKind = "engine"
	// KindPlain endpoints are other HTTP services. They receive the requests that match a Route.
	KindPlain PoolKind = "plain"
)

// Pool is a group of endpoints that can serve the same requests.
type Pool struct {
	Name string   `yaml:"name" json:"name"`
	Kind PoolKind `yaml:"kind" json:"kind"`
	// Model is the model name that callers send in requests. It is set for engine pools only.
	Model string `yaml:"model,omitempty" json:"model,omitempty"`
	// ShardSize is the largest number of endpoints in a shard of the pool. Default 32.
	ShardSize int `yaml:"shard_size,omitempty" json:"shard_size,omitempty"`
}

// Fencing states whether an endpoint verifies the fencing tokens of commands. It is validated but not used by any
// component.
type Fencing string

// Values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
	FencingUnknown Fencing = "unknown"
)

// Capability is an optional feature of an inference engine.
type Capability string

// Values of Capability.
const (
	// CapPriority engines order requests by the priority in the request body.
	CapPriority Capability = "priority"
	// CapResume engines continue a partial response after a given token.
	CapResume Capability = "resume"
	// CapLoad engines report their load.
	CapLoad Capability = "load"
	// CapCacheEvents engines include cache events in their load reports. No component checks the capability: cache
	// events are used whenever a load report has them.
	CapCacheEvents Capability = "cache_events"
	// CapCommands is accepted but not checked by any component.
	CapCommands Capability = "commands"
)

// Endpoint is one back-end server.
type Endpoint struct {
	ID   string `yaml:"id" json:"id"`
	Pool string `yaml:"pool" json:"pool"`
	// URL is the base URL, for example http://10.0.0.7:8000.
	URL  string `yaml:"url" json:"url"`
	Zone string `yaml:"zone" json:"zone"`
	// VM is the platform's name of the VM that runs the endpoint, as it appears in the VM list.
	VM       string   `yaml:"vm,omitempty" json:"vm,omitempty"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// MinSlots and MaxSlots bound the number of concurrent requests. Defaults 1 and 64.
	MinSlots     int          `yaml:"min_slots,omitempty" json:"min_slots,omitempty"`
	MaxSlots     int          `yaml:"max_slots,omitempty" json:"max_slots,omitempty"`
	Capabilities []Capability `yaml:"capabilities,omitempty" json:"capabilities,omitempty"`
	// Fencing is checked, ignored or unknown. Default unknown.
	Fencing Fencing `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// Drain excludes the endpoint from new requests.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
}

// Route sends requests outside the inference API whose path has a given prefix to a plain pool.
type Route struct {
	// Path is the path prefix, for example /services/bookings/.
	Path string `yaml:"path" json:"path"`
	// Pool is the name of a plain pool. Validation also accepts an engine pool, but requests that match such a
	// route are refused.
	Pool string `yaml:"pool" json:"pool"`
	// Class applies to requests that do not name a class. Default: the workspace's default class.
	Class string `yaml:"class,omitempty" json:"class,omitempty"`
	// NonIdempotent lists the HTTP methods that are executed at most once; requests with these
	// methods need an Idempotency-Key header.
	NonIdempotent []string `yaml:"non_idempotent,omitempty" json:"non_idempotent,omitempty"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes are the SHA-256 hashes of the workspace's API keys, in lower-case hex.
	KeyHashes []string `yaml:"key_hashes,omitempty" json:"key_hashes,omitempty"`
	// Classes lists the classes that the workspace may use. An empty list allows all classes.
	Classes      []string `yaml:"classes,omitempty" json:"classes,omitempty"`
	DefaultClass string   `yaml:"default_class" json:"default_class"`
	// Weight is the workspace's fair-share weight within a class. Default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
}

// Role is the set of operations that an operator may perform.
type Role string

// Values of Role. Each role includes the permissions of the roles before it.
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
