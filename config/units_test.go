package config

import (
	"testing"

	"go.yaml.in/yaml/v3"
)

// TestUnitsOutOfRange guards against a percentage that is no number and a size that overflows: both would pass the later
// checks of the configuration.
func TestUnitsOutOfRange(t *testing.T) {
	for _, text := range []string{"NaN%", ".nan%", "-1%", "101%", "Inf%", "5"} {
		var p Percent
		if err := yaml.Unmarshal([]byte(text), &p); err == nil {
			t.Errorf("percentage %s accepted as %v", text, p)
		}
	}
	for _, text := range []string{"9223372036854775807GiB", "8589934592GiB", "9223372036854775808B", "-1B", "1"} {
		var s Size
		if err := yaml.Unmarshal([]byte(text), &s); err == nil {
			t.Errorf("size %s accepted as %d bytes", text, s)
		}
	}
	var s Size
	if err := yaml.Unmarshal([]byte("8589934591GiB"), &s); err != nil || s != 8589934591<<30 {
		t.Errorf("largest size in GiB: %d, %v", s, err)
	}
}
