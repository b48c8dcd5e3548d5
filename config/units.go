package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that is written with its unit, for example "1.2s" or "34ms".
type Duration time.Duration

// UnmarshalYAML reads a duration and rejects a number without a unit.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || (n.Value == "0" && n.Tag == "!!int") {
		return fmt.Errorf("line %d: %q is not a duration; write a number with a unit, for example 34ms or 1.2s", n.Line, n.Value)
	}
	if v < 0 {
		return fmt.Errorf("line %d: duration %q is negative", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// MarshalText writes the duration with its unit, for JSON.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration with its unit, for JSON.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// D returns the standard library's type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Percent is a share from 0 to 1 that is written with its unit, for example "2%".
type Percent float64

// UnmarshalYAML reads a percentage and rejects a number without a unit.
func (p *Percent) UnmarshalYAML(n *yaml.Node) error {
	if err := p.UnmarshalText([]byte(n.Value)); err != nil {
		return fmt.Errorf("line %d: %w", n.Line, err)
	}
	return nil
}

// UnmarshalText reads a percentage, for JSON.
func (p *Percent) UnmarshalText(b []byte) error {
	number, ok := strings.CutSuffix(string(b), "%")
	v, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || v < 0 || v > 100 {
		return fmt.Errorf("%q is not a percentage; write a number from 0%% to 100%%", b)
	}
	*p = Percent(v / 100)
	return nil
}

// MarshalText writes the percentage with its unit.
func (p Percent) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(math.Round(float64(p)*1e6)/1e4, 'g', -1, 64) + "%"), nil
}

// MarshalYAML writes the percentage with its unit.
func (p Percent) MarshalYAML() (any, error) {
	b, err := p.MarshalText()
	return string(b), err
}

// Size is a number of bytes that is written with its unit, for example "64KiB".
type Size int64

// sizeUnits lists the accepted units, the longer suffixes first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// UnmarshalYAML reads a size and rejects a number without a unit.
func (s *Size) UnmarshalYAML(n *yaml.Node) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(n.Value, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 {
			break
		}
		*s = Size(v * u.bytes)
		return nil
	}
	return fmt.Errorf("line %d: %q is not a size; write a number with a unit, for example 64KiB or 1MiB", n.Line, n.Value)
}

// MarshalYAML writes the size in the largest unit that divides it.
func (s Size) MarshalYAML() (any, error) {
	for _, u := range []int{2, 1, 0} {
		if b := sizeUnits[u].bytes; s != 0 && int64(s)%b == 0 {
			return strconv.FormatInt(int64(s)/b, 10) + sizeUnits[u].suffix, nil
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B", nil
}
