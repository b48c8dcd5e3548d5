// Package etcd is the module kv.etcd: platform.KV over the published etcd v3 JSON API.
//
// A write goes out once, on a connection of its own, so that neither the HTTP client nor a silent
// pooled connection makes its outcome ambiguous without need. Reads share connections and move on
// to the next endpoint when one does not answer.
package etcd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/platform"
)

// Defaults of the settings.
const (
	defaultTimeout      = 2 * time.Second
	defaultWatchTimeout = 10 * time.Second
)

// maxIdleReads bounds the pooled connections for reads per endpoint.
const maxIdleReads = 4

// KV is the adapter. Its exported fields are its settings.
type KV struct {
	// Endpoints are the base URLs of the service, for example http://10.0.0.5:2379.
	Endpoints []string `yaml:"endpoints"`
	// Timeout bounds each call. Default 2s.
	Timeout config.Duration `yaml:"timeout"`
	// WatchTimeout ends a watch without events or progress. Default 10s. The service must be
	// set up to report progress more often than that.
	WatchTimeout config.Duration `yaml:"watch_timeout"`
	// Prefix is put before all keys. Default empty.
	Prefix string `yaml:"prefix"`
	// CAFile has the certificates that the service's certificate must descend from.
	// Default: the system's.
	CAFile string `yaml:"ca_file"`
	// CertFile and KeyFile authenticate the daemon to the service. Default: none.
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`

	reads  *http.Client
	writes *http.Client
	// preferred counts failures; modulo the number of endpoints it is the one to try first.
	preferred atomic.Uint32
}

var (
	_ platform.KV           = (*KV)(nil)
	_ chivewind.Module      = (*KV)(nil)
	_ chivewind.Validator   = (*KV)(nil)
	_ chivewind.Provisioner = (*KV)(nil)
	_ chivewind.Stopper     = (*KV)(nil)
)

func init() { chivewind.Register(&KV{}) }

// ModuleInfo implements chivewind.Module.
func (k *KV) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{ID: "kv.etcd", New: func() chivewind.Module {
		return &KV{Timeout: config.Duration(defaultTimeout), WatchTimeout: config.Duration(defaultWatchTimeout)}
	}}
}

// Validate implements chivewind.Validator.
func (k *KV) Validate() error {
	if len(k.Endpoints) == 0 {
		return errors.New("endpoints: at least one URL is required")
	}
	for _, e := range k.Endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return fmt.Errorf("endpoints: %q is not an http or https URL", e)
		}
	}
	if k.Timeout <= 0 || k.WatchTimeout <= 0 {
		return errors.New("timeout and watch_timeout must be positive")
	}
	if (k.CertFile == "") != (k.KeyFile == "") {
		return errors.New("cert_file and key_file must be set together")
	}
	return nil
}

// Provision implements chivewind.Provisioner.
func (k *KV) Provision(*chivewind.Context) error {
	tlsConfig, err := k.tlsConfig()
	if err != nil {
		return err
	}
	k.reads = k.client(tlsConfig, false)
	k.writes = k.client(tlsConfig, true)
	return nil
}

// Stop implements chivewind.Stopper.
func (k *KV) Stop(context.Context) error {
	k.reads.CloseIdleConnections()
	return nil
}

// client returns an HTTP client that follows no redirects. With fresh set, each call has a
// connection of its own: net/http repeats a request only on a reused connection.
func (k *KV) client(tlsConfig *tls.Config, fresh bool) *http.Client {
	dialTimeout := k.Timeout.D() / time.Duration(len(k.Endpoints))
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: k.WatchTimeout.D()}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     tlsConfig,
			TLSHandshakeTimeout: dialTimeout,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleReads,
			IdleConnTimeout:     time.Minute,
			// HTTP/1 only: HTTP/2 would put writes on a shared connection.
			TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (k *KV) tlsConfig() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if k.CAFile != "" {
		pem, err := os.ReadFile(k.CAFile)
		if err != nil {
			return nil, err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("ca_file %s has no certificate", k.CAFile)
		}
	}
	if k.CertFile != "" {
		if _, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile); err != nil {
			return nil, err
		}
		// The files are read at each handshake, so that renewed ones need no restart.
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
			return &cert, err
		}
	}
	return c, nil
}

// endpoints returns the base URLs, the preferred one first.
func (k *KV) endpoints() []string {
	n := int(k.preferred.Load() % uint32(len(k.Endpoints)))
	list := make([]string, 0, len(k.Endpoints))
	for i := range k.Endpoints {
		list = append(list, strings.TrimSuffix(k.Endpoints[(n+i)%len(k.Endpoints)], "/"))
	}
	return list
}
