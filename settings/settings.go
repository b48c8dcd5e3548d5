// Package settings defines the static settings of a daemon, which are read from a file at start: Settings for
// `chivewind serve` and Entry for an entry daemon, which `chivewind entry` runs. An entry daemon reads its file
// again on SIGHUP and applies the log level; see Entry.CheckReload. Package config defines the configuration that
// operators change at run time.
package settings

import (
	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind/config"
)

// Settings holds the static settings of a daemon that `chivewind serve` runs.
type Settings struct {
	// ID identifies the daemon; it must be unique among the live daemons. Default: the advertised
	// peer address.
	ID string `yaml:"id"`
	// Zone and Region are the daemon's availability zone and region.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	Listen Listen `yaml:"listen"`
	// Join lists the peer addresses (IP:port) of other daemons.
	Join []string `yaml:"join"`
	// ClusterKeyFile is the file with the key (at least 16 bytes) that authenticates membership packets.
	ClusterKeyFile string `yaml:"cluster_key_file"`
	// KV and VMList select the adapters for the platform's key-value service and VM list.
	KV     Module `yaml:"kv"`
	VMList Module `yaml:"vm_list"`
	// Policy selects the scheduling policy. Default policy.tiered.
	Policy Module `yaml:"policy"`
	TLS    TLS    `yaml:"tls"`
	Limits Limits `yaml:"limits"`
	Log    Log    `yaml:"log"`
	// Insecure allows listen addresses other than loopback without TLS and cluster key, and operators without a key on
	// other hosts while none are configured.
	Insecure bool `yaml:"insecure"`
}

// Listen holds the addresses on which a daemon listens, each IP:port, and those that it advertises.
type Listen struct {
	// Callers is the address of the callers' API.
	Callers string `yaml:"callers"`
	// CallersURL is the URL that is advertised to callers. Default: http:// or https:// and Callers.
	CallersURL string `yaml:"callers_url"`
	// Admin is the address of the administration API and of the metrics.
	Admin string `yaml:"admin"`
	// Peer is the address of the protocol between daemons, with TCP and UDP on the same port.
	Peer string `yaml:"peer"`
	// PeerAdvertise is the address (IP:port) at which other daemons reach this one. Default: Peer.
	PeerAdvertise string `yaml:"peer_advertise"`
}

// Module selects a module and holds its settings.
type Module struct {
	// Use is the ID of the module, for example kv.etcd.
	Use string `yaml:"use"`
	// With holds the module-specific settings.
	With yaml.Node `yaml:"with"`
}

// TLS holds the paths of the certificate files. Renewed certificates and keys are loaded without a
// restart; PeerCAFile is read once.
type TLS struct {
	// CertFile and KeyFile are used for connections from callers and operators.
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	// PeerCertFile, PeerKeyFile and PeerCAFile are used for mutual TLS between daemons.
	PeerCertFile string `yaml:"peer_cert_file"`
	PeerKeyFile  string `yaml:"peer_key_file"`
	PeerCAFile   string `yaml:"peer_ca_file"`
}

// Limits holds the size limits, time limits and retention periods of request handling.
type Limits struct {
	// MaxBody is the largest size of a request body. Default 4MiB.
	MaxBody config.Size `yaml:"max_body"`
	// MaxHeader is the largest size of the request headers. Default 64KiB.
	MaxHeader config.Size `yaml:"max_header"`
	// RequestMemory is the memory that the bodies of requests may hold, with the copies that are made of them. Four
	// copies of a body of MaxBody are always admitted. Default 96MiB.
	RequestMemory config.Size `yaml:"request_memory"`
	// HeaderTimeout is the longest time to read the request headers. Default 5s.
	HeaderTimeout config.Duration `yaml:"header_timeout"`
	// IdleTimeout is the time after which an idle caller connection is closed. Default 60s.
	IdleTimeout config.Duration `yaml:"idle_timeout"`
	// WriteStallTimeout is the time after which a request is ended whose caller accepts no bytes. Default 30s.
	WriteStallTimeout config.Duration `yaml:"write_stall"`
	// EntryValidity is how long callers may cache a response to GET /v1/entry. Default 10s. Bounds.AddressValidity
	// is the same limit for the directory of an entry daemon.
	EntryValidity config.Duration `yaml:"entry_validity"`
	// InterTokenTimeout is the longest time between two tokens of an event stream from an engine, and between two
	// reads of any other response. An attempt that exceeds it is ended. Default 5s.
	InterTokenTimeout config.Duration `yaml:"inter_token"`
	// LedgerRetention is how long the records of at-most-once requests are kept. Default 168h.
	LedgerRetention config.Duration `yaml:"ledger_retention"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info.
	Level string `yaml:"level"`
	// JSON selects JSON lines instead of plain text. Default true.
	JSON *bool `yaml:"json"`
}
