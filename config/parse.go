package config

import (
	"fmt"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/chivewind/chivewind/internal/strictyaml"
)

// Limits of the configuration.
const (
	// MaxTier is the highest tier number, which is the lowest priority.
	MaxTier = 3
	// MaxFloorSum bounds the sum of the floors of a preset's classes. A floor is the fraction of each
	// shard's slots that is reserved for a class. The bound leaves at least half of the slots to scheduling
	// by tier.
	MaxFloorSum = 0.5
)

// ReadFile reads and validates a configuration file.
func ReadFile(file string) (*Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, raw)
}

// Parse reads and validates a configuration. The error is a strictyaml.Problems.
func Parse(file string, raw []byte) (*Config, error) {
	c := &Config{}
	doc, err := strictyaml.Decode(file, raw, c)
	if err != nil {
		return nil, err
	}
	validate(c, doc.AddProblemf)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Validate checks a configuration that was not read from a file. The error is a strictyaml.Problems
// without line numbers.
func Validate(c *Config) error {
	var problems strictyaml.Problems
	validate(c, func(field, format string, args ...any) {
		problems = append(problems, strictyaml.Problem{File: "configuration", Field: field, Message: fmt.Sprintf(format, args...)})
	})
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// reportFunc records a problem of a field.
type reportFunc func(field, format string, args ...any)

// validName matches names of presets, classes, pools, endpoints, workspaces and operators.
var validName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// validHash matches a SHA-256 hash in lower-case hex.
var validHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

func validate(c *Config, r reportFunc) {
	checkPresets(c, r)
	checkPools(c, r)
	checkEndpoints(c, r)
	checkRoutes(c, r)
	checkWorkspaces(c, r)
	checkOperators(c, r)
}

// nameSet holds the names seen so far, to detect duplicates.
type nameSet map[string]bool

// check adds a name and reports it if it is malformed or a duplicate.
func (n nameSet) check(name, field string, r reportFunc) {
	if !validName.MatchString(name) {
		r(field, "%q is not a valid name; use 1 to 64 letters, digits, '.', '_' or '-'", name)
		return
	}
	if n[name] {
		r(field, "the name %q is used twice", name)
	}
	n[name] = true
}

func checkPresets(c *Config, r reportFunc) {
	seen := nameSet{}
	var firstClassNames []string
	for i, p := range c.Presets {
		field := fmt.Sprintf("presets[%d]", i)
		seen.check(p.Name, field+".name", r)
		classNames := checkClasses(p, field, r)
		if i == 0 {
			firstClassNames = classNames
		} else if !slices.Equal(firstClassNames, classNames) {
			r(field+".classes", "preset %q has the classes %s, but preset %q has %s; all presets define the same classes",
				p.Name, strings.Join(classNames, ", "), c.Presets[0].Name, strings.Join(firstClassNames, ", "))
		}
	}
	if len(c.Presets) == 0 {
		r("presets", "at least one preset is required")
	}
	if !seen[c.Preset] {
		r("preset", "%q is not a preset; exactly one of presets must be in force", c.Preset)
	}
}

// checkClasses checks the classes of a preset and returns the class names in sorted order.
func checkClasses(p Preset, field string, r reportFunc) []string {
	seen := nameSet{}
	var classNames []string
	var floorSum float64
	for i, class := range p.Classes {
		path := fmt.Sprintf("%s.classes[%d]", field, i)
		seen.check(class.Name, path+".name", r)
		classNames = append(classNames, class.Name)
		if class.Tier < 1 || class.Tier > MaxTier {
			r(path+".tier", "tier %d is out of range; valid: 1 (highest) to %d", class.Tier, MaxTier)
		}
		if class.FirstToken == 0 && class.BetweenTokens == 0 && class.Total == 0 {
			r(path, "class %q has no target; set first_token, between_tokens or total", class.Name)
		}
		if !slices.Contains([]LateAction{"", LateShed, LateDemote, LateServe}, class.Late) {
			r(path+".late", "%q is not valid; valid: shed, demote, serve", class.Late)
		}
		floorSum += float64(*class.withDefaults().Floor)
	}
	if len(p.Classes) == 0 {
		r(field+".classes", "preset %q has no classes", p.Name)
	}
	if floorSum > MaxFloorSum {
		r(field+".classes", "the floors sum to %.0f%%; valid: at most %.0f%%", floorSum*100, MaxFloorSum*100)
	}
	slices.Sort(classNames)
	return classNames
}

func checkPools(c *Config, r reportFunc) {
	seen, models := nameSet{}, nameSet{}
	for i, p := range c.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		seen.check(p.Name, field+".name", r)
		switch p.Kind {
		case KindEngine:
			if p.Model == "" {
				r(field+".model", "an engine pool needs the model's name")
			} else if models[p.Model] {
				r(field+".model", "the model %q is served by two pools", p.Model)
			}
			models[p.Model] = true
		case KindPlain:
			if p.Model != "" {
				r(field+".model", "a plain pool has no model")
			}
		default:
			r(field+".kind", "%q is not a kind; valid: engine, plain", p.Kind)
		}
		if p.ShardSize < 0 || p.ShardSize > 1024 {
			r(field+".shard_size", "%d is out of range; valid: 1 to 1024", p.ShardSize)
		}
	}
}

func checkEndpoints(c *Config, r reportFunc) {
	seen := nameSet{}
	for i, e := range c.Endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		seen.check(e.ID, field+".id", r)
		if !c.hasPool(e.Pool) {
			r(field+".pool", "%q is not a pool", e.Pool)
		}
		if e.Zone == "" {
			r(field+".zone", "the availability zone is missing")
		}
		u, err := url.Parse(e.URL)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
			r(field+".url", "%q is not an address; write for example http://10.0.0.7:8000", e.URL)
		}
		d := e.withDefaults()
		if d.MinSlots < 1 || d.MaxSlots < d.MinSlots || d.MaxSlots > 4096 {
			r(field+".max_slots", "min_slots %d and max_slots %d are not valid; valid: 1 <= min_slots <= max_slots <= 4096", d.MinSlots, d.MaxSlots)
		}
		if !slices.Contains([]Fencing{FencingChecked, FencingIgnored, FencingUnknown}, d.Fencing) {
			r(field+".fencing", "%q is not valid; valid: checked, ignored, unknown", e.Fencing)
		}
		for j, capability := range e.Capabilities {
			if !slices.Contains([]Capability{CapPriority, CapResume, CapLoad, CapCacheEvents, CapCommands}, capability) {
				r(fmt.Sprintf("%s.capabilities[%d]", field, j), "%q is not a capability; valid: priority, resume, load, cache_events, commands", capability)
			}
		}
	}
}

// reservedPrefix is the path prefix of the OpenAI-compatible API, which routes must not shadow.
const reservedPrefix = "/v1/"

// knownMethods are the HTTP methods that non_idempotent accepts.
var knownMethods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}

func checkRoutes(c *Config, r reportFunc) {
	seen := map[string]bool{}
	for i, route := range c.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(route.Path, "/") || !strings.HasSuffix(route.Path, "/") {
			r(field+".path", "%q is not a path prefix; it begins and ends with '/'", route.Path)
		}
		if strings.HasPrefix(route.Path, reservedPrefix) || route.Path == "/" {
			r(field+".path", "%q hides the callers' API under %s", route.Path, reservedPrefix)
		}
		if seen[route.Path] {
			r(field+".path", "the path %q is used twice", route.Path)
		}
		seen[route.Path] = true
		if !c.hasPool(route.Pool) {
			r(field+".pool", "%q is not a pool", route.Pool)
		}
		if route.Class != "" && !c.hasClass(route.Class) {
			r(field+".class", "%q is not a class", route.Class)
		}
		for j, m := range route.NonIdempotent {
			if !slices.Contains(knownMethods, m) {
				r(fmt.Sprintf("%s.non_idempotent[%d]", field, j), "%q is not a method; valid: %s", m, strings.Join(knownMethods, ", "))
			}
		}
	}
}

func checkWorkspaces(c *Config, r reportFunc) {
	seen, hashes := nameSet{}, map[string]string{}
	for i, w := range c.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		seen.check(w.Name, field+".name", r)
		if !c.hasClass(w.DefaultClass) {
			r(field+".default_class", "%q is not a class", w.DefaultClass)
		}
		for j, class := range w.Classes {
			if !c.hasClass(class) {
				r(fmt.Sprintf("%s.classes[%d]", field, j), "%q is not a class", class)
			}
		}
		if len(w.Classes) > 0 && !slices.Contains(w.Classes, w.DefaultClass) {
			r(field+".default_class", "%q is not among the workspace's classes", w.DefaultClass)
		}
		if w.Weight < 0 {
			r(field+".weight", "the weight is negative")
		}
		for j, h := range w.KeyHashes {
			path := fmt.Sprintf("%s.key_hashes[%d]", field, j)
			checkHash(h, path, r)
			if other, ok := hashes[h]; ok {
				r(path, "the key is already bound to workspace %q", other)
			}
			hashes[h] = w.Name
		}
	}
}

func checkOperators(c *Config, r reportFunc) {
	seen := nameSet{}
	for i, o := range c.Operators {
		field := fmt.Sprintf("operators[%d]", i)
		seen.check(o.Name, field+".name", r)
		checkHash(o.KeyHash, field+".key_hash", r)
		if !slices.Contains([]Role{RoleRead, RoleSwitch, RoleEdit}, o.Role) {
			r(field+".role", "%q is not a role; valid: read, switch, edit", o.Role)
		}
	}
}

func checkHash(hash, field string, r reportFunc) {
	if !validHash.MatchString(hash) {
		r(field, "not a SHA-256 hash; write 64 hex digits, for example from `printf %%s KEY | sha256sum`")
	}
}

func (c *Config) hasPool(name string) bool {
	return slices.ContainsFunc(c.Pools, func(p Pool) bool { return p.Name == name })
}

func (c *Config) hasClass(name string) bool {
	return len(c.Presets) > 0 && slices.ContainsFunc(c.Presets[0].Classes, func(k Class) bool { return k.Name == name })
}

// ParsePreset reads and validates a file with one preset. The error is a strictyaml.Problems.
func ParsePreset(file string, raw []byte) (Preset, error) {
	var p Preset
	doc, err := strictyaml.Decode(file, raw, &p)
	if err != nil {
		return Preset{}, err
	}
	// checkClasses puts this prefix before the field paths; a file with one preset has no such parent field.
	prefix := "preset"
	nameSet{}.check(p.Name, "name", doc.AddProblemf)
	checkClasses(p, prefix, func(field, format string, args ...any) {
		doc.AddProblemf(strings.TrimPrefix(field, prefix+"."), format, args...)
	})
	return p, doc.Err()
}
