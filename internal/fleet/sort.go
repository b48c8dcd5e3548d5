package fleet

import (
	"cmp"
	"slices"

	"github.com/chivewind/chivewind/traffic"
)

func sortByID(endpoints []traffic.Endpoint) {
	slices.SortFunc(endpoints, func(a, b traffic.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}
