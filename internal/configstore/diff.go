package configstore

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chivewind/chivewind/config"
)

const (
	// maxItemText bounds the text of one item in an audit entry, in bytes.
	maxItemText = 2 << 10
	// maxChangeText bounds the text of all items in an audit entry, in bytes.
	maxChangeText = 32 << 10
)

// ItemChange is one item that a change touched, encoded as JSON; From is empty for a new item and
// To for a removed one. Long texts are cut.
type ItemChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// itemKey names an item within a configuration.
type itemKey struct {
	kind string
	name string
}

// items encodes the items of a configuration.
func items(c *config.Config, workspaces bool) map[itemKey]string {
	m := map[itemKey]string{}
	add := func(kind, name string, v any) { m[itemKey{kind, name}] = encode(v) }
	add("active preset", "", c.Preset)
	for _, v := range c.Presets {
		add("preset", v.Name, v)
	}
	for _, v := range c.Pools {
		add("pool", v.Name, v)
	}
	for _, v := range c.Endpoints {
		add("endpoint", v.ID, v)
	}
	for _, v := range c.Routes {
		add("route", v.Path, v)
	}
	for _, v := range c.Operators {
		add("operator", v.Name, v)
	}
	if !workspaces {
		return m
	}
	for _, v := range c.Workspaces {
		add("workspace", v.Name, v)
	}
	return m
}

// diff lists the items that differ, as far as an audit entry has room for them.
func diff(from, to *config.Config) []ItemChange {
	workspaces := !from.SharesWorkspaces(to)
	before, after := items(from, workspaces), items(to, workspaces)
	var changes []ItemChange
	for k, old := range before {
		if now := after[k]; now != old {
			changes = append(changes, ItemChange{k.kind, k.name, cut(old), cut(now)})
		}
	}
	for k, now := range after {
		if _, ok := before[k]; !ok {
			changes = append(changes, ItemChange{Kind: k.kind, Name: k.name, To: cut(now)})
		}
	}
	slices.SortFunc(changes, func(a, b ItemChange) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	size := 0
	for i, c := range changes {
		size += len(c.Name) + len(c.From) + len(c.To)
		if size > maxChangeText {
			rest := fmt.Sprintf("%d more items", len(changes)-i)
			return append(changes[:i:i], ItemChange{Kind: "more", Name: rest})
		}
	}
	return changes
}

func cut(text string) string {
	if len(text) <= maxItemText {
		return text
	}
	return text[:maxItemText] + "…"
}
