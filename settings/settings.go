// Package settings defines the static settings of a daemon, which are read once at start.
// What operators change at run time is in package config.
package settings

import (
	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind/config"
)

// Settings are the static settings of one daemon.
type Settings struct {
	// ID names the daemon; it is unique among live daemons. Default: the peer address.
	ID string `yaml:"id"`
	// Zone and Region are the daemon's availability zone and region.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Listen has the daemon's own addresses.
	Listen Listen `yaml:"listen"`
	// Join lists peer addresses (IP:port) of other daemons.
	Join []string `yaml:"join"`
	// ClusterKeyFile holds the key (at least 16 bytes) that authenticates membership packets.
	ClusterKeyFile string `yaml:"cluster_key_file"`
	// KV and VMList select the platform's adapters.
	KV     Module `yaml:"kv"`
	VMList Module `yaml:"vm_list"`
	// Policy selects the scheduling policy. Default policy.tiered.
	Policy Module `yaml:"policy"`
	TLS    TLS    `yaml:"tls"`
	Limits Limits `yaml:"limits"`
	Log    Log    `yaml:"log"`
	// Insecure allows addresses other than loopback without keys.
	Insecure bool `yaml:"insecure"`
}

// Listen has the addresses that a daemon binds, each IP:port.
type Listen struct {
	// Callers is the address of the callers' API.
	Callers string `yaml:"callers"`
	// CallersURL is the address named to callers. Default: http(s):// and Callers.
	CallersURL string `yaml:"callers_url"`
	// Admin is the address of the administration API and of the metrics.
	Admin string `yaml:"admin"`
	// Peer is the address of the protocol between daemons, TCP and UDP on the same port.
	Peer string `yaml:"peer"`
	// PeerAdvertise is the address that other daemons use. Default: Peer.
	PeerAdvertise string `yaml:"peer_advertise"`
}

// Module selects a module and holds its settings.
type Module struct {
	// Use is the module's id, for example kv.etcd.
	Use string `yaml:"use"`
	// With holds the module's own settings.
	With yaml.Node `yaml:"with"`
}

// TLS has the certificates. Renewed files are read again without a restart.
type TLS struct {
	// CertFile and KeyFile are used towards callers and operators.
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	// PeerCertFile, PeerKeyFile and PeerCAFile are used for mutual TLS between daemons.
	PeerCertFile string `yaml:"peer_cert_file"`
	PeerKeyFile  string `yaml:"peer_key_file"`
	PeerCAFile   string `yaml:"peer_ca_file"`
}

// Limits bound what callers and planned stops may cost.
type Limits struct {
	// MaxBody bounds a request's body. Default 4MiB.
	MaxBody config.Size `yaml:"max_body"`
	// MaxHeader bounds a request's headers. Default 64KiB.
	MaxHeader config.Size `yaml:"max_header"`
	// HeaderTimeout bounds the time to read headers. Default 5s.
	HeaderTimeout config.Duration `yaml:"header_timeout"`
	// IdleTimeout closes idle connections of callers. Default 60s.
	IdleTimeout config.Duration `yaml:"idle_timeout"`
	// WriteStall ends a request whose caller accepts no bytes. Default 30s.
	WriteStall config.Duration `yaml:"write_stall"`
	// EntryValidity is how long callers may keep an answer with entry addresses. Default 10s.
	EntryValidity config.Duration `yaml:"entry_validity"`
	// InterToken ends an attempt whose endpoint sends nothing for this time. Default 5s.
	InterToken config.Duration `yaml:"inter_token"`
	// LedgerRetention is how long at-most-once records are kept. Default 168h.
	LedgerRetention config.Duration `yaml:"ledger_retention"`
}

// Log has the settings of the log.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info.
	Level string `yaml:"level"`
	// JSON selects JSON lines. Default true.
	JSON *bool `yaml:"json"`
}
