package config

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse guards against accepting a configuration that a daemon cannot run, and against errors
// that do not name the line and the field.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		if _, err := Parse("c.yaml", []byte(d.Input)); err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}
