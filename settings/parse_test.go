package settings

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/chivewind/chivewind"
)

// fakeModule is a module with one setting.
type fakeModule struct {
	id  string
	URL string `yaml:"url"`
}

// ModuleInfo implements chivewind.Module.
func (f fakeModule) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{ID: f.id, New: func() chivewind.Module { return &fakeModule{id: f.id} }}
}

// TestParse guards against accepting settings with which a daemon cannot start, and against errors
// that do not name the line and the key.
func TestParse(t *testing.T) {
	for _, id := range []string{"kv.fake", "vmlist.fake", "policy.tiered"} {
		if _, err := chivewind.Lookup(id); err != nil {
			chivewind.Register(fakeModule{id: id})
		}
	}
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		if _, err := Parse("s.yaml", []byte(d.Input)); err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}
