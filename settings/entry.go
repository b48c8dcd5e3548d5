package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/strictyaml"
)

// Defaults of optional settings of an entry daemon.
const (
	DefaultAddressValidity = config.Duration(2 * time.Second)
	DefaultDrainBound      = config.Duration(2 * time.Second)
	DefaultStopBound       = config.Duration(8 * time.Second)
	DefaultRetryRatio      = 0.2
	DefaultRetryWindow     = config.Duration(10 * time.Second)
	DefaultRetryReserve    = 32
	DefaultMemory          = config.Size(128 << 20)
	DefaultEntryIdle       = config.Duration(5 * time.Minute)
)

// Entry are the static settings of an entry daemon.
type Entry struct {
	// ID names the daemon; it is unique among live daemons.
	ID string `yaml:"id"`
	// Zone and Region are the daemon's availability zone and region.
	Zone   string      `yaml:"zone"`
	Region string      `yaml:"region"`
	Listen EntryListen `yaml:"listen"`
	// Join lists control addresses of other daemons, which may be stale.
	Join []string `yaml:"join"`
	// KV selects the adapter of the key-value service.
	KV Module `yaml:"kv"`
	// MinLease is the shortest lease that the key-value service grants. Default 1s.
	MinLease config.Duration `yaml:"min_lease"`
	Bounds   Bounds          `yaml:"bounds"`
	Process  Process         `yaml:"process"`
	Log      Log             `yaml:"log"`
}

// EntryListen has the addresses that an entry daemon binds, each IP:port.
type EntryListen struct {
	// Callers takes the callers' requests.
	Callers string `yaml:"callers"`
	// Ready answers whether the daemon takes requests.
	Ready string `yaml:"ready"`
	// Directory answers which entry addresses callers may use.
	Directory string `yaml:"directory"`
	// Control takes calls of other daemons, and Reports their datagrams.
	Control string `yaml:"control"`
	Reports string `yaml:"reports"`
	// Metrics serves counters and histograms. Default: none.
	Metrics string `yaml:"metrics"`
}

// Bounds are what the deployment promises or demands.
type Bounds struct {
	// AddressValidity is how long callers may keep an answer with entry addresses. Default 2s.
	AddressValidity config.Duration `yaml:"address_validity"`
	// Drain is the time after which a draining endpoint must receive no new request. Default 2s.
	Drain config.Duration `yaml:"drain"`
	// Stop is the time between SIGTERM and the end of the process. Default 8s.
	Stop config.Duration `yaml:"stop"`
	// RetryRatio and RetryReserve bound repeated sends of all daemons together within RetryWindow: the ratio
	// of the requests of a pool plus the reserve. Defaults 0.2, 32 and 10s.
	RetryRatio   float64         `yaml:"retry_ratio"`
	RetryReserve int             `yaml:"retry_reserve"`
	RetryWindow  config.Duration `yaml:"retry_window"`
}

// Process bounds what the process may use.
type Process struct {
	// Memory is the VM's memory for the process. Default 128MiB.
	Memory config.Size `yaml:"memory"`
	// Cores is the number of processors. Default 1.
	Cores int `yaml:"cores"`
	// Share is the part of a core that the process may use. Daemons with the most processor time schedule
	// for the others. Default 1.
	Share float64 `yaml:"share"`
}

// ReadEntryFile reads and validates the settings of an entry daemon.
func ReadEntryFile(file string) (*Entry, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseEntry(file, raw)
}

// ParseEntry reads and validates settings and fills in defaults. The error is a strictyaml.Problems.
func ParseEntry(file string, raw []byte) (*Entry, error) {
	s := &Entry{}
	if err := parse(file, raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Entry) setDefaults() {
	setDefault(&s.MinLease, config.Duration(time.Second))
	setDefault(&s.Bounds.AddressValidity, DefaultAddressValidity)
	setDefault(&s.Bounds.Drain, DefaultDrainBound)
	setDefault(&s.Bounds.Stop, DefaultStopBound)
	setDefault(&s.Bounds.RetryRatio, DefaultRetryRatio)
	setDefault(&s.Bounds.RetryReserve, DefaultRetryReserve)
	setDefault(&s.Bounds.RetryWindow, DefaultRetryWindow)
	setDefault(&s.Process.Memory, DefaultMemory)
	setDefault(&s.Process.Cores, 1)
	setDefault(&s.Process.Share, 1)
	setLogDefaults(&s.Log)
}

func (s *Entry) validate(doc *strictyaml.Document) {
	for _, f := range []struct{ field, value string }{{"id", s.ID}, {"zone", s.Zone}} {
		if f.value == "" {
			doc.Addf(f.field, "the value is missing")
		}
	}
	for _, a := range []struct {
		field, value string
		optional     bool
	}{
		{"listen.callers", s.Listen.Callers, false}, {"listen.ready", s.Listen.Ready, true},
		{"listen.directory", s.Listen.Directory, true}, {"listen.control", s.Listen.Control, false},
		{"listen.reports", s.Listen.Reports, false}, {"listen.metrics", s.Listen.Metrics, true},
	} {
		if a.optional && a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			doc.Addf(a.field, "%q is not an address; write IP:port, for example 127.0.0.1:7000", a.value)
		}
	}
	for _, j := range s.Join {
		if _, err := netip.ParseAddrPort(j); err != nil {
			doc.Addf("join", "%q is not an address; write IP:port", j)
		}
	}
	checkModule(doc, "kv", &s.KV)
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryRatio > 1 {
		doc.Addf("bounds.retry_ratio", "%v is out of range; valid: 0 to 1", s.Bounds.RetryRatio)
	}
	if s.Bounds.RetryReserve < 0 {
		doc.Addf("bounds.retry_reserve", "%d is negative", s.Bounds.RetryReserve)
	}
	if s.Process.Cores < 1 {
		doc.Addf("process.cores", "%d is out of range; valid: 1 and more", s.Process.Cores)
	}
	if s.Process.Share <= 0 {
		doc.Addf("process.share", "%v is out of range; valid: above 0", s.Process.Share)
	}
	if !slices.Contains(logLevels, s.Log.Level) {
		doc.Addf("log.level", "%q is not a level; valid: trace, debug, info, warn, error", s.Log.Level)
	}
}

// Replaceable says whether settings that changed while the daemon runs can be used without a restart: the
// daemon's identity and addresses must be the same.
func (s *Entry) Replaceable(next *Entry) error {
	if s.ID != next.ID || s.Zone != next.Zone || s.Listen != next.Listen {
		return errors.New("id, zone and listen cannot change while the daemon runs")
	}
	if s.KV.Use != next.KV.Use {
		return fmt.Errorf("kv.use cannot change from %s to %s while the daemon runs", s.KV.Use, next.KV.Use)
	}
	return nil
}
