package settings

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/strictyaml"
)

// Defaults of optional settings.
const (
	DefaultPolicy            = "policy.tiered"
	DefaultMaxBody           = config.Size(4 << 20)
	DefaultMaxHeader         = config.Size(64 << 10)
	DefaultRequestMemory     = config.Size(96 << 20)
	DefaultHeaderTimeout     = config.Duration(5 * time.Second)
	DefaultIdleTimeout       = config.Duration(60 * time.Second)
	DefaultWriteStallTimeout = config.Duration(30 * time.Second)
	DefaultEntryValidity     = config.Duration(10 * time.Second)
	DefaultInterTokenTimeout = config.Duration(5 * time.Second)
	DefaultLedgerRetention   = config.Duration(7 * 24 * time.Hour)
)

// logLevels are the valid values of log.level.
var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// ReadFile reads and validates a settings file.
func ReadFile(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, raw)
}

// Parse reads and validates settings and fills in defaults. The error is a strictyaml.Problems.
func Parse(file string, raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := parse(file, raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

// daemonSettings is implemented by the settings of both kinds of daemons, Settings and Entry.
type daemonSettings interface {
	setDefaults()
	validate(*strictyaml.Document)
}

// parse decodes settings, fills in defaults and validates them.
func parse(file string, raw []byte, s daemonSettings) error {
	doc, err := strictyaml.Decode(file, raw, s)
	if err != nil {
		return err
	}
	s.setDefaults()
	s.validate(doc)
	return doc.Err()
}

// setLogDefaults fills in the defaults of the log settings.
func setLogDefaults(l *Log) {
	setDefault(&l.Level, "info")
	if l.JSON == nil {
		json := true
		l.JSON = &json
	}
}

func (s *Settings) setDefaults() {
	setDefault(&s.Listen.PeerAdvertise, s.Listen.Peer)
	setDefault(&s.ID, s.Listen.PeerAdvertise)
	scheme := "http://"
	if s.TLS.CertFile != "" {
		scheme = "https://"
	}
	setDefault(&s.Listen.CallersURL, scheme+s.Listen.Callers)
	setDefault(&s.Policy.Use, DefaultPolicy)
	setDefault(&s.Limits.MaxBody, DefaultMaxBody)
	setDefault(&s.Limits.MaxHeader, DefaultMaxHeader)
	setDefault(&s.Limits.RequestMemory, DefaultRequestMemory)
	setDefault(&s.Limits.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&s.Limits.IdleTimeout, DefaultIdleTimeout)
	setDefault(&s.Limits.WriteStallTimeout, DefaultWriteStallTimeout)
	setDefault(&s.Limits.EntryValidity, DefaultEntryValidity)
	setDefault(&s.Limits.InterTokenTimeout, DefaultInterTokenTimeout)
	setDefault(&s.Limits.LedgerRetention, DefaultLedgerRetention)
	setLogDefaults(&s.Log)
}

// setDefault sets a field that has its zero value, which includes a field that the file sets to 0.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) validate(doc *strictyaml.Document) {
	if s.Zone == "" {
		doc.AddProblemf("zone", "the availability zone is missing")
	}
	s.checkAddresses(doc)
	s.checkModules(doc)
	s.checkTLS(doc)
	if !slices.Contains(logLevels, s.Log.Level) {
		doc.AddProblemf("log.level", "%q is not a level; valid: trace, debug, info, warn, error", s.Log.Level)
	}
	if v := s.Limits.EntryValidity.D(); v < time.Second || v > 5*time.Minute {
		doc.AddProblemf("limits.entry_validity", "%s is out of range; valid: 1s to 5m", v)
	}
}

func (s *Settings) checkAddresses(doc *strictyaml.Document) {
	ports := map[uint16]string{}
	for _, a := range []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.admin", s.Listen.Admin}, {"listen.peer", s.Listen.Peer},
	} {
		addrPort, err := netip.ParseAddrPort(a.value)
		if err != nil {
			doc.AddProblemf(a.field, "%q is not an address; write IP:port, for example 127.0.0.1:7000", a.value)
			continue
		}
		if other, ok := ports[addrPort.Port()]; ok && addrPort.Port() != 0 {
			doc.AddProblemf(a.field, "port %d is already used by %s", addrPort.Port(), other)
		}
		ports[addrPort.Port()] = a.field
		if !addrPort.Addr().IsLoopback() && !s.Insecure && !s.isProtected(a.field) {
			doc.AddProblemf(a.field, "%s is not loopback; set tls (and cluster_key_file for listen.peer) or insecure: true", addrPort.Addr())
		}
	}
	if _, err := netip.ParseAddrPort(s.Listen.PeerAdvertise); err != nil && s.Listen.PeerAdvertise != s.Listen.Peer {
		doc.AddProblemf("listen.peer_advertise", "%q is not an address; write IP:port", s.Listen.PeerAdvertise)
	}
	for _, j := range s.Join {
		if _, err := netip.ParseAddrPort(j); err != nil {
			doc.AddProblemf("join", "%q is not an address; write IP:port", j)
		}
	}
}

// isProtected reports whether a listener is protected by TLS, and the peer listener also by a cluster key, so
// that it may bind an address that other hosts can reach.
func (s *Settings) isProtected(field string) bool {
	if field == "listen.peer" {
		return s.TLS.PeerCertFile != "" && s.ClusterKeyFile != ""
	}
	return s.TLS.CertFile != ""
}

func (s *Settings) checkModules(doc *strictyaml.Document) {
	for _, m := range []struct {
		field  string
		module *Module
	}{{"kv", &s.KV}, {"vm_list", &s.VMList}, {"policy", &s.Policy}} {
		checkModule(doc, m.field, m.module)
	}
}

// checkModule checks that the selected module is registered, that it can be used for the field, and that its settings can
// be decoded.
func checkModule(doc *strictyaml.Document, field string, m *Module) {
	if m.Use == "" {
		doc.AddProblemf(field+".use", "the module is missing; valid: %s", strings.Join(moduleIDs(field), ", "))
		return
	}
	info, err := chivewind.Lookup(m.Use)
	if err != nil {
		doc.AddProblemf(field+".use", "%v", err)
		return
	}
	if !slices.Contains(moduleIDs(field), m.Use) {
		doc.AddProblemf(field+".use", "module %q cannot be used here; valid: %s", m.Use, strings.Join(moduleIDs(field), ", "))
		return
	}
	if err := chivewind.Decode(&m.With, info.New()); err != nil {
		doc.AddProblemf(field+".with", "%v", err)
	}
}

// moduleIDs returns the IDs of the registered modules that a settings field can select.
func moduleIDs(field string) []string {
	namespaces := map[string]string{"kv": "kv", "vm_list": "vmlist", "policy": "policy", "control_plane": "control"}
	var ids []string
	for _, info := range chivewind.Modules(namespaces[field]) {
		ids = append(ids, info.ID)
	}
	return ids
}

func (s *Settings) checkTLS(doc *strictyaml.Document) {
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		doc.AddProblemf("tls", "cert_file and key_file are set together or not at all")
	}
	peer := []string{s.TLS.PeerCertFile, s.TLS.PeerKeyFile, s.TLS.PeerCAFile}
	if slices.Contains(peer, "") && slices.ContainsFunc(peer, func(v string) bool { return v != "" }) {
		doc.AddProblemf("tls", "peer_cert_file, peer_key_file and peer_ca_file are set together or not at all")
	}
}
