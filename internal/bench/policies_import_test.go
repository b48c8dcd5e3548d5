package bench

// The import registers the tiered policy for BenchmarkPolicies; the package itself does not need it.
import _ "github.com/chivewind/chivewind/modules/policy/tiered"
