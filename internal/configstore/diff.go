package configstore

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chivewind/chivewind/config"
)

const (
	// maxItemBytes is the largest size of one encoded item in an audit entry.
	maxItemBytes = 2 << 10
	// maxChangesBytes is the largest total size of the items in an audit entry.
	maxChangesBytes = 32 << 10
)

// ItemChange describes an item that a change added, replaced or removed. From and To are its JSON
// encodings before and after the change, each truncated to 2 KiB. From is empty for an added item and To for
// a removed one. In the kind "more", Name states how many items were left out.
type ItemChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// itemKey identifies an item within a configuration.
type itemKey struct {
	kind string
	name string
}

// encodeItems returns the JSON encodings of the items of a configuration, with or without the workspaces.
func encodeItems(c *config.Config, includeWorkspaces bool) map[itemKey]string {
	m := map[itemKey]string{}
	add := func(kind, name string, v any) { m[itemKey{kind, name}] = toJSON(v) }
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
	if !includeWorkspaces {
		return m
	}
	for _, v := range c.Workspaces {
		add("workspace", v.Name, v)
	}
	return m
}

// diff lists the items that differ between two configurations. If they exceed maxChangesBytes, the last
// element states how many were left out.
func diff(from, to *config.Config) []ItemChange {
	workspaces := !from.SharesWorkspaces(to)
	before, after := encodeItems(from, workspaces), encodeItems(to, workspaces)
	var changes []ItemChange
	for k, old := range before {
		if now := after[k]; now != old {
			changes = append(changes, ItemChange{k.kind, k.name, truncate(old), truncate(now)})
		}
	}
	for k, now := range after {
		if _, ok := before[k]; !ok {
			changes = append(changes, ItemChange{Kind: k.kind, Name: k.name, To: truncate(now)})
		}
	}
	slices.SortFunc(changes, func(a, b ItemChange) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	size := 0
	for i, c := range changes {
		size += len(c.Name) + len(c.From) + len(c.To)
		if size > maxChangesBytes {
			rest := fmt.Sprintf("%d more items", len(changes)-i)
			return append(changes[:i:i], ItemChange{Kind: "more", Name: rest})
		}
	}
	return changes
}

// truncate cuts text to maxItemBytes and marks the cut with an ellipsis.
func truncate(text string) string {
	if len(text) <= maxItemBytes {
		return text
	}
	return text[:maxItemBytes] + "…"
}
