// Package etcd is the module kv.etcd. It implements platform.KV with the JSON API of etcd v3.
//
// A write is sent at most once, on its own connection, so that neither a resend by the HTTP client nor an
// unresponsive pooled connection makes its outcome ambiguous. Reads share connections and fail over to the
// next endpoint if one does not respond.
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
	"github.com/chivewind/chivewind/internal/responsehead"
	"github.com/chivewind/chivewind/platform"
)

// Defaults of the settings.
const (
	defaultTimeout      = 2 * time.Second
	defaultWatchTimeout = 10 * time.Second
)

// maxIdleReadConns is the maximum number of idle connections for reads per endpoint.
const maxIdleReadConns = 4

// KV implements platform.KV. Its exported fields are its settings.
type KV struct {
	// Endpoints are the base URLs of the service, for example http://10.0.0.5:2379.
	Endpoints []string `yaml:"endpoints"`
	// Timeout limits each call. Of a watch, it limits only the creation. Default 2s.
	Timeout config.Duration `yaml:"timeout"`
	// WatchTimeout is the time without events or progress notifications after which a watch fails.
	// Default 10s. The service must be configured to notify more often than that. WatchTimeout is also the interval
	// of the TCP keep-alive probes on all connections.
	WatchTimeout config.Duration `yaml:"watch_timeout"`
	// Prefix is prepended to all keys. Default empty.
	Prefix string `yaml:"prefix"`
	// CAFile is a PEM file with the CA certificates that verify the service's certificate.
	// Default: the system's.
	CAFile string `yaml:"ca_file"`
	// CertFile and KeyFile are PEM files with the client certificate and its key. Default: none.
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`

	readClient *http.Client
	// unpooledClient opens a connection for each call. Writes and watches use it.
	unpooledClient *http.Client
	// failureCount is the number of failed attempts, without rejected ones, and of failed watches. It selects the
	// endpoint that is tried first, so that each failure moves on to the next one; see endpointsByPreference.
	failureCount atomic.Uint32
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
	k.readClient = k.newClient(tlsConfig, false)
	k.unpooledClient = k.newClient(tlsConfig, true)
	return nil
}

// Stop implements chivewind.Stopper.
func (k *KV) Stop(context.Context) error {
	k.readClient.CloseIdleConnections()
	return nil
}

// newClient returns an HTTP client that follows no redirects. With disableKeepAlives set, it opens a connection for
// each call and closes it afterwards, because net/http resends requests only on reused connections.
func (k *KV) newClient(tlsConfig *tls.Config, disableKeepAlives bool) *http.Client {
	// The dial and the TLS handshake are each limited to the call's timeout divided by the number of endpoints, so
	// that a write can try every endpoint when some cannot be dialed. read sets its own limit for each attempt.
	dialTimeout := k.Timeout.D() / time.Duration(len(k.Endpoints))
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: k.WatchTimeout.D()}
	return &http.Client{
		Transport: responsehead.Transport{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     tlsConfig,
			TLSHandshakeTimeout: dialTimeout,
			DisableKeepAlives:   disableKeepAlives,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleReadConns,
			IdleConnTimeout:     time.Minute,
			// Disable HTTP/2, which would send writes over a shared connection.
			TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
		}},
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
		// Load the files at each handshake, so that renewed certificates take effect without a restart.
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
			return &cert, err
		}
	}
	return c, nil
}

// endpointsByPreference returns the base URLs, the preferred one first. The preferred one is the one whose index is
// failureCount modulo the number of endpoints.
func (k *KV) endpointsByPreference() []string {
	n := int(k.failureCount.Load() % uint32(len(k.Endpoints)))
	list := make([]string, 0, len(k.Endpoints))
	for i := range k.Endpoints {
		list = append(list, strings.TrimSuffix(k.Endpoints[(n+i)%len(k.Endpoints)], "/"))
	}
	return list
}
