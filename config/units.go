package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that is encoded with its unit, for example "1.2s" or "34ms".
type Duration time.Duration

// UnmarshalYAML decodes a duration. It rejects numbers without a unit and negative durations.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	// time.ParseDuration accepts a zero without a unit.
	if err != nil || (n.Value == "0" && n.Tag == "!!int") {
		return fmt.Errorf("line %d: %q is not a duration; write a number with a unit, for example 34ms or 1.2s", n.Line, n.Value)
	}
	if v < 0 {
		return fmt.Errorf("line %d: duration %q is negative", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML encodes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// MarshalText encodes the duration with its unit, for JSON.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes a duration with its unit, for JSON. Unlike UnmarshalYAML it accepts a 0 without a unit and
// negative durations.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Percent is a fraction from 0 to 1 that is encoded as a percentage, for example "2%".
type Percent float64

// UnmarshalYAML decodes a percentage. It rejects numbers without the percent sign.
func (p *Percent) UnmarshalYAML(n *yaml.Node) error {
	if err := p.UnmarshalText([]byte(n.Value)); err != nil {
		return fmt.Errorf("line %d: %w", n.Line, err)
	}
	return nil
}

// UnmarshalText decodes a percentage, for JSON.
func (p *Percent) UnmarshalText(b []byte) error {
	number, ok := strings.CutSuffix(string(b), "%")
	v, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || math.IsNaN(v) || v < 0 || v > 100 {
		return fmt.Errorf("%q is not a percentage; write a number from 0%% to 100%%", b)
	}
	*p = Percent(v / 100)
	return nil
}

// MarshalText encodes the percentage with its percent sign, rounded to four decimal places.
func (p Percent) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(math.Round(float64(p)*1e6)/1e4, 'g', -1, 64) + "%"), nil
}

// MarshalYAML encodes the percentage with its percent sign.
func (p Percent) MarshalYAML() (any, error) {
	b, err := p.MarshalText()
	return string(b), err
}

// Size is a number of bytes that is encoded with its unit, for example "64KiB".
type Size int64

// sizeUnits lists the accepted units. Longer suffixes come first, because every suffix ends in B.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// UnmarshalYAML decodes a size. It rejects numbers without a unit and negative sizes.
func (s *Size) UnmarshalYAML(n *yaml.Node) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(n.Value, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 || v > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(v * u.bytes)
		return nil
	}
	return fmt.Errorf("line %d: %q is not a size; write a number with a unit, for example 64KiB or 1MiB", n.Line, n.Value)
}

// MarshalYAML encodes the size in the largest binary unit that divides it, else in bytes.
func (s Size) MarshalYAML() (any, error) {
	for _, i := range []int{2, 1, 0} {
		if b := sizeUnits[i].bytes; s != 0 && int64(s)%b == 0 {
			return strconv.FormatInt(int64(s)/b, 10) + sizeUnits[i].suffix, nil
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B", nil
}
