// Package tiered is chivewind's scheduling policy for one shard: strict tiers with a floor per
// class, least slack within a tier, and fair queueing over workspaces within a class.
package tiered
