// Package standard imports all built-in modules so that they register themselves.
package standard

import (
	_ "github.com/chivewind/chivewind/modules/endpoint/engine"
	_ "github.com/chivewind/chivewind/modules/endpoint/plain"
	_ "github.com/chivewind/chivewind/modules/kv/etcd"
	_ "github.com/chivewind/chivewind/modules/policy/baseline"
	_ "github.com/chivewind/chivewind/modules/policy/tiered"
	_ "github.com/chivewind/chivewind/modules/vmlist/http"
	_ "github.com/chivewind/chivewind/platform/managed"
)
