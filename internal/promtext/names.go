package promtext

import "strings"

// prefix begins every name.
const prefix = "chivewind_"

// canonical turns a registry name such as ledger.records_written into a Prometheus name such as
// chivewind_ledger_records_written_total. Names that already have the prefix stay.
func canonical(base, kind string) string {
	if strings.HasPrefix(base, prefix) {
		return base
	}
	base = prefix + strings.NewReplacer(".", "_", "-", "_").Replace(base)
	if kind == "counter" && !strings.HasSuffix(base, "_total") {
		base += "_total"
	}
	return base
}
