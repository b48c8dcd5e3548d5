// Package chivewind is the module system: the registry of modules and the interfaces of their life cycle.
//
// A module registers itself in init under a dotted id, for example "kv.etcd". A daemon loads the
// modules that its settings name.
package chivewind

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.yaml.in/yaml/v3"
)

// ModuleInfo describes a registered module.
type ModuleInfo struct {
	// ID is the namespace, a dot and the name within the namespace, for example "kv.etcd". The modules
	// of a namespace implement the same interface.
	ID string
	// New returns an empty module whose exported fields are its settings.
	New func() Module
}

// Module is implemented by every type that can be registered.
type Module interface {
	// ModuleInfo returns the module's registration.
	ModuleInfo() ModuleInfo
}

// Provisioner is implemented by modules that need initialization after their settings are decoded and
// validated.
type Provisioner interface {
	Provision(*Context) error
}

// Validator is implemented by modules that check their settings. Validate must not have side effects.
type Validator interface {
	Validate() error
}

// Starter is implemented by components that run in the background. Load does not call Start.
type Starter interface {
	Start(context.Context) error
}

// Stopper is implemented by components and modules that release resources acquired by Start or Provision.
// The code that starts a component or loads a module is responsible for calling Stop.
type Stopper interface {
	Stop(context.Context) error
}

// Context holds what Load passes to a module's Provision.
type Context struct {
	Log     hclog.Logger
	Metrics metrics.Registry
}

// registry holds the registered modules by id; registryMu guards it. Modules register in init, and
// daemons look them up at start.
var (
	registryMu sync.RWMutex
	registry   = map[string]ModuleInfo{}
)

// Register adds a module to the registry. It panics on a duplicate id, an id without a dot or a missing New
// function, because these are programming errors, not errors in the settings.
func Register(m Module) {
	info := m.ModuleInfo()
	if info.New == nil || !strings.Contains(info.ID, ".") {
		panic(fmt.Sprintf("chivewind: malformed module registration %q", info.ID))
	}
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, ok := registry[info.ID]; ok {
		panic(fmt.Sprintf("chivewind: module %q registered twice", info.ID))
	}
	registry[info.ID] = info
}

// Lookup returns the module registered under id. The error for an unknown id lists the registered modules
// of the same namespace.
func Lookup(id string) (ModuleInfo, error) {
	registryMu.RLock()
	defer registryMu.RUnlock()
	info, ok := registry[id]
	if !ok {
		namespace, _, _ := strings.Cut(id, ".")
		return ModuleInfo{}, fmt.Errorf("unknown module %q; registered: %s", id, strings.Join(moduleIDs(namespace), ", "))
	}
	return info, nil
}

// Modules returns the modules of a namespace, sorted by id.
func Modules(namespace string) []ModuleInfo {
	registryMu.RLock()
	defer registryMu.RUnlock()
	var infos []ModuleInfo
	for _, id := range moduleIDs(namespace) {
		infos = append(infos, registry[id])
	}
	return infos
}

// moduleIDs returns the sorted ids of a namespace. The caller holds registryMu.
func moduleIDs(namespace string) []string {
	var ids []string
	for id := range registry {
		if strings.HasPrefix(id, namespace+".") {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Load creates the module registered under id, decodes and validates its settings, and provisions it.
// A nil node keeps the module's defaults.
func Load(ctx *Context, id string, node *yaml.Node) (Module, error) {
	info, err := Lookup(id)
	if err != nil {
		return nil, err
	}
	m := info.New()
	if err := Decode(node, m); err != nil {
		return nil, fmt.Errorf("settings of module %s: %w", id, err)
	}
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(ctx); err != nil {
			return nil, fmt.Errorf("provision module %s: %w", id, err)
		}
	}
	return m, nil
}

// Decode decodes a module's settings, rejects unknown keys, and validates the result. A nil or empty node
// keeps the defaults. yaml.Node.Decode accepts unknown keys, so the node is encoded again and read by a
// decoder that rejects them.
func Decode(node *yaml.Node, m Module) error {
	if node != nil && !node.IsZero() {
		raw, err := yaml.Marshal(node)
		if err != nil {
			return err
		}
		dec := yaml.NewDecoder(bytes.NewReader(raw))
		dec.KnownFields(true)
		if err := dec.Decode(m); err != nil {
			return err
		}
	}
	if v, ok := m.(Validator); ok {
		return v.Validate()
	}
	return nil
}
