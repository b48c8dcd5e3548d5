package promtext

import "strings"

// namePrefix is the prefix of every exported metric name.
const namePrefix = "chivewind_"

// prometheusName turns a registry name such as ledger.records_written into a Prometheus name such as
// chivewind_ledger_records_written_total; counters get the suffix _total. Names that already have the prefix
// are returned unchanged.
func prometheusName(base, kind string) string {
	if strings.HasPrefix(base, namePrefix) {
		return base
	}
	base = namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(base)
	if kind == "counter" && !strings.HasSuffix(base, "_total") {
		base += "_total"
	}
	return base
}
