package bench

// The tiered policy is registered for BenchmarkPolicies; the package itself does not need it.
import _ "github.com/chivewind/chivewind/modules/policy/tiered"
