package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/capacity"
	"github.com/chivewind/chivewind/internal/strictyaml"
)

// Defaults of the optional settings of an entry daemon. DefaultRetryRatio is a fraction of requests and
// DefaultRetryReserve a number of requests.
const (
	DefaultAddressValidity = config.Duration(2 * time.Second)
	DefaultDrainBound      = config.Duration(2 * time.Second)
	DefaultStopBound       = config.Duration(8 * time.Second)
	DefaultRetryRatio      = 0.2
	DefaultRetryWindow     = config.Duration(10 * time.Second)
	DefaultRetryReserve    = 32
	DefaultDutyLease       = config.Duration(3 * time.Second)
	DefaultUsageWindow     = config.Duration(5 * time.Second)
	DefaultUsageDue        = config.Duration(10 * time.Second)
	DefaultMemory          = config.Size(128 << 20)
	// DefaultRequestMemoryRatio is the default of Process.RequestMemory as a fraction of Process.Memory. The soft limit of
	// the Go runtime is 0.6 of it: the rest of that is for the daemon's own state and for memory that has been freed but
	// not yet collected.
	DefaultRequestMemoryRatio = 0.3
	// DefaultEntryIdleTimeout is the time after which an entry daemon closes an idle caller connection. No setting
	// changes it.
	DefaultEntryIdleTimeout = config.Duration(5 * time.Minute)
)

// Entry holds the static settings of an entry daemon, which receives callers' requests and forwards them to
// endpoints.
type Entry struct {
	// ID identifies the daemon; it must be unique among the live daemons.
	ID string `yaml:"id"`
	// Zone and Region are the daemon's availability zone and region.
	Zone   string      `yaml:"zone"`
	Region string      `yaml:"region"`
	Listen EntryListen `yaml:"listen"`
	// Join lists the control addresses (IP:port) of other daemons. Some of them may be out of date.
	Join []string `yaml:"join"`
	// KV selects the adapter for the key-value service.
	KV Module `yaml:"kv"`
	// MinLease is the shortest lease duration that the key-value service grants. Default 1s.
	MinLease config.Duration `yaml:"min_lease"`
	Bounds   Bounds          `yaml:"bounds"`
	// ControlPlane selects the adapter for the calls of duties. Default: none, and the daemon has no duties.
	ControlPlane *Module `yaml:"control_plane"`
	// Duties holds the time limits of duties. It is used only with ControlPlane.
	Duties Duties `yaml:"duties"`
	// Placement selects optional decisions about which requests endpoints get.
	Placement Placement `yaml:"placement"`
	// Capacity holds the figures from which the number of endpoints follows. It is used only with ControlPlane, for pools of
	// the routing table whose number of endpoints can be set.
	Capacity Capacity `yaml:"capacity"`
	Process  Process  `yaml:"process"`
	Log      Log      `yaml:"log"`
}

// EntryListen holds the addresses on which an entry daemon listens, each IP:port.
type EntryListen struct {
	// Callers is the address of the client API.
	Callers string `yaml:"callers"`
	// Ready is the address of the readiness probe. Default: no probe.
	Ready string `yaml:"ready"`
	// Directory is the address that serves the list of entry addresses to callers. Default: not served.
	Directory string `yaml:"directory"`
	// Control is the address for calls from other daemons, and Reports the one for their datagrams.
	Control string `yaml:"control"`
	Reports string `yaml:"reports"`
	// Metrics is the address that serves counters and histograms. Default: not served.
	Metrics string `yaml:"metrics"`
}

// Bounds holds time limits and the retry budget of an entry daemon.
type Bounds struct {
	// AddressValidity is how long callers may cache the address list that an entry daemon serves at
	// EntryListen.Directory. Default 2s. Limits.EntryValidity is the same limit for GET /v1/entry.
	AddressValidity config.Duration `yaml:"address_validity"`
	// Drain is the time after which an endpoint whose key was removed from the key-value service must receive no
	// new request. It limits how long an endpoint that is removed shortly after an outage of that service stays in
	// use. Default 2s.
	Drain config.Duration `yaml:"drain"`
	// Stop is the longest time between SIGTERM and the exit of the process. Default 8s.
	Stop config.Duration `yaml:"stop"`
	// RetryRatio, RetryReserve and RetryWindow form the retry budget, which limits the retries of each pool and of
	// all pools together. Within RetryWindow a daemon may send as many retries as RetryRatio times the requests
	// that it received, or as its share of RetryReserve if that is more. RetryReserve is divided equally among the
	// daemons, but each share is at least 1. Defaults 0.2, 32 and 10s.
	RetryRatio   float64         `yaml:"retry_ratio"`
	RetryReserve int             `yaml:"retry_reserve"`
	RetryWindow  config.Duration `yaml:"retry_window"`
}

// Duties holds the time limits of the duties that one daemon at a time has for the whole fleet.
type Duties struct {
	// Lease is the time after which another daemon may take a duty over from one that it no longer hears of. Default 3s.
	Lease config.Duration `yaml:"lease"`
	// UsageWindow is the length of a usage window. Window k starts k times UsageWindow after the Unix epoch.
	// Default 5s.
	UsageWindow config.Duration `yaml:"usage_window"`
	// UsageDue is the time after the end of a window within which its usage must be reported. Default 10s.
	UsageDue config.Duration `yaml:"usage_due"`
}

// Placement selects optional decisions about which requests endpoints get.
type Placement struct {
	// FairShares bounds the work of each workspace by its fair share while a pool of engines is scarce. Default false.
	FairShares bool `yaml:"fair_shares"`
	// Pace limits the requests in progress on endpoints that have just started or recovered, and finds the limit from how
	// they answer. Default false.
	Pace bool `yaml:"pace"`
}

// Capacity holds the figures from which the number of endpoints follows.
type Capacity struct {
	// Target is the fraction of requests whose first event is to arrive in time. A higher one leads to a lower utilization of
	// the endpoints. Default 0.99.
	Target float64 `yaml:"target"`
	// MaxUtilization limits the utilization of the endpoints under the usual load, as a fraction of their speed. Default 0.5.
	MaxUtilization float64 `yaml:"max_utilization"`
	// BurstFactor is the factor by which the class with the most work may grow without warning. Default 2.6.
	BurstFactor float64 `yaml:"burst_factor"`
	// MinOnDemand is the smallest fraction of the endpoints that are on-demand. Default 0.25.
	MinOnDemand float64 `yaml:"min_on_demand"`
	// Step is the largest fraction of the endpoints that one decision removes. Default 0.06.
	Step float64 `yaml:"step"`
	// PrefillSpeed is the number of prompt tokens that one engine prefills per second. Default: as measured.
	PrefillSpeed float64 `yaml:"prefill_speed"`
}

// Process holds the resource limits of the process.
type Process struct {
	// Memory is the part of the VM's memory that the process may use. Default 128MiB.
	Memory config.Size `yaml:"memory"`
	// RequestMemory is the part of Memory that requests may hold: bodies, buffers of responses and callers' connections.
	// A body of the largest legal size is always admitted when there are no others. Default 0.3 of Memory.
	RequestMemory config.Size `yaml:"request_memory"`
	// Cores is the number of processor cores that the process uses. Default 1.
	Cores int `yaml:"cores"`
	// Share is the fraction of each core that the process may use. It is not enforced, and validation sets no
	// upper limit. Cores times Share is the processor time that the daemon announces; the daemons with the most
	// run the schedulers for all daemons. Default 1.
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
	setDefault(&s.Duties.Lease, DefaultDutyLease)
	setDefault(&s.Duties.UsageWindow, DefaultUsageWindow)
	setDefault(&s.Duties.UsageDue, DefaultUsageDue)
	setDefault(&s.Capacity.Target, capacity.DefaultTarget)
	setDefault(&s.Capacity.MaxUtilization, capacity.DefaultMaxUtilization)
	setDefault(&s.Capacity.BurstFactor, capacity.DefaultBurstFactor)
	setDefault(&s.Capacity.MinOnDemand, capacity.DefaultMinOnDemand)
	setDefault(&s.Capacity.Step, capacity.DefaultStep)
	setDefault(&s.Process.Memory, DefaultMemory)
	setDefault(&s.Process.RequestMemory, config.Size(DefaultRequestMemoryRatio*float64(s.Process.Memory)))
	setDefault(&s.Process.Cores, 1)
	setDefault(&s.Process.Share, 1)
	setLogDefaults(&s.Log)
}

func (s *Entry) validate(doc *strictyaml.Document) {
	for _, f := range []struct{ field, value string }{{"id", s.ID}, {"zone", s.Zone}} {
		if f.value == "" {
			doc.AddProblemf(f.field, "the value is missing")
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
			doc.AddProblemf(a.field, "%q is not an address; write IP:port, for example 127.0.0.1:7000", a.value)
		}
	}
	for _, j := range s.Join {
		if _, err := netip.ParseAddrPort(j); err != nil {
			doc.AddProblemf("join", "%q is not an address; write IP:port", j)
		}
	}
	checkModule(doc, "kv", &s.KV)
	if s.ControlPlane != nil {
		checkModule(doc, "control_plane", s.ControlPlane)
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryRatio > 1 {
		doc.AddProblemf("bounds.retry_ratio", "%v is out of range; valid: 0 to 1", s.Bounds.RetryRatio)
	}
	if s.Bounds.RetryReserve < 0 {
		doc.AddProblemf("bounds.retry_reserve", "%d is negative", s.Bounds.RetryReserve)
	}
	if s.Duties.Lease < s.MinLease {
		doc.AddProblemf("duties.lease", "%s is below min_lease, %s", s.Duties.Lease.D(), s.MinLease.D())
	}
	if s.Duties.UsageWindow < 0 {
		doc.AddProblemf("duties.usage_window", "%s is negative", s.Duties.UsageWindow.D())
	}
	if s.Duties.UsageDue < 0 {
		doc.AddProblemf("duties.usage_due", "%s is negative", s.Duties.UsageDue.D())
	}
	s.Capacity.validate(doc)
	if s.Process.RequestMemory > s.Process.Memory {
		doc.AddProblemf("process.request_memory", "%d bytes are more than process.memory", s.Process.RequestMemory)
	}
	if s.Process.Cores < 1 {
		doc.AddProblemf("process.cores", "%d is out of range; valid: 1 and more", s.Process.Cores)
	}
	if s.Process.Share <= 0 {
		doc.AddProblemf("process.share", "%v is out of range; valid: above 0", s.Process.Share)
	}
	if !slices.Contains(logLevels, s.Log.Level) {
		doc.AddProblemf("log.level", "%q is not a level; valid: trace, debug, info, warn, error", s.Log.Level)
	}
}

func (c *Capacity) validate(doc *strictyaml.Document) {
	for _, f := range []struct {
		field string
		value float64
	}{
		{"capacity.target", c.Target}, {"capacity.max_utilization", c.MaxUtilization}, {"capacity.min_on_demand", c.MinOnDemand},
		{"capacity.step", c.Step},
	} {
		if f.value <= 0 || f.value > 1 {
			doc.AddProblemf(f.field, "%v is out of range; valid: above 0, up to 1", f.value)
		}
	}
	if c.Target == 1 {
		doc.AddProblemf("capacity.target", "1 cannot be met; valid: below 1")
	}
	if c.BurstFactor < 1 {
		doc.AddProblemf("capacity.burst_factor", "%v is out of range; valid: 1 and more", c.BurstFactor)
	}
	if c.PrefillSpeed < 0 {
		doc.AddProblemf("capacity.prefill_speed", "%v is negative", c.PrefillSpeed)
	}
}

// CheckReload returns an error if next changes the daemon's ID, zone, listen addresses or key-value adapter. It
// does not compare the other settings. Of these, a reload applies only the log level; changes of the others
// take effect when the daemon is restarted.
func (s *Entry) CheckReload(next *Entry) error {
	if s.ID != next.ID || s.Zone != next.Zone || s.Listen != next.Listen {
		return errors.New("id, zone and listen cannot change while the daemon runs")
	}
	if s.KV.Use != next.KV.Use {
		return fmt.Errorf("kv.use cannot change from %s to %s while the daemon runs", s.KV.Use, next.KV.Use)
	}
	return nil
}
