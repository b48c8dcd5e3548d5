// Package http is the module vmlist.http. It reads the platform's list of VMs from a JSON document over HTTP.
package http

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/responsehead"
	"github.com/chivewind/chivewind/platform"
)

// defaultTimeout is the default of List.Timeout.
const defaultTimeout = 2 * time.Second

// maxDocumentBytes is the maximum size of the document. A VM takes about 120 bytes.
const maxDocumentBytes = 16 << 20

// List implements platform.VMList. Its exported fields are its settings.
type List struct {
	// URL is the HTTP or HTTPS URL of the document.
	URL string `yaml:"url"`
	// Timeout limits each call. Default 2s.
	Timeout config.Duration `yaml:"timeout"`
	// CAFile is a PEM file with the CA certificates that verify the service's certificate.
	// Default: the system's.
	CAFile string `yaml:"ca_file"`

	client *http.Client
	// mu guards lastETag and lastVMs, the latest document, which a response of 304 refers to.
	mu       sync.Mutex
	lastETag string
	lastVMs  platform.VMs
}

var (
	_ platform.VMList       = (*List)(nil)
	_ chivewind.Module      = (*List)(nil)
	_ chivewind.Validator   = (*List)(nil)
	_ chivewind.Provisioner = (*List)(nil)
	_ chivewind.Stopper     = (*List)(nil)
)

func init() { chivewind.Register(&List{}) }

// ModuleInfo implements chivewind.Module.
func (l *List) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{ID: "vmlist.http", New: func() chivewind.Module {
		return &List{Timeout: config.Duration(defaultTimeout)}
	}}
}

// Validate implements chivewind.Validator.
func (l *List) Validate() error {
	u, err := url.Parse(l.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("url: %q is not an http or https URL", l.URL)
	}
	if l.Timeout <= 0 {
		return errors.New("timeout must be positive")
	}
	return nil
}

// Provision implements chivewind.Provisioner.
func (l *List) Provision(*chivewind.Context) error {
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if l.CAFile != "" {
		pem, err := os.ReadFile(l.CAFile)
		if err != nil {
			return err
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(pem) {
			return fmt.Errorf("ca_file %s has no certificate", l.CAFile)
		}
	}
	l.client = &http.Client{
		Timeout:   l.Timeout.D(),
		Transport: responsehead.Transport{Transport: &http.Transport{TLSClientConfig: tlsConfig, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
	}
	return nil
}

// Stop implements chivewind.Stopper.
func (l *List) Stop(context.Context) error {
	l.client.CloseIdleConnections()
	return nil
}

// List implements platform.VMList. The result may be shared with other calls and must not be modified.
func (l *List) List(ctx context.Context) (platform.VMs, error) {
	vms, err := l.fetch(ctx)
	if err != nil {
		// Do not reuse a connection that may be unresponsive.
		l.client.CloseIdleConnections()
		return platform.VMs{}, oops.With("step", "list VMs").With("peer", l.URL).
			Wrap(fmt.Errorf("%w: %w", platform.ErrUnavailable, err))
	}
	return vms, nil
}

func (l *List) fetch(ctx context.Context) (platform.VMs, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.URL, nil)
	if err != nil {
		return platform.VMs{}, err
	}
	l.mu.Lock()
	etag, last := l.lastETag, l.lastVMs
	l.mu.Unlock()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return platform.VMs{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return platform.VMs{}, fmt.Errorf("VM list service returned status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxDocumentBytes))
	if err != nil {
		return platform.VMs{}, err
	}
	var vms platform.VMs
	if err := json.Unmarshal(raw, &vms); err != nil {
		return platform.VMs{}, err
	}
	if err := validateVMs(vms); err != nil {
		return platform.VMs{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastETag, l.lastVMs = resp.Header.Get("ETag"), vms
	return vms, nil
}

// validateVMs rejects documents with an unknown VM state or an empty VM id. Guessing a state is not safe,
// since a leaving VM that is treated as live would still be assigned work.
func validateVMs(vms platform.VMs) error {
	for _, vm := range vms.VMs {
		if vm.ID == "" || (vm.State != platform.VMLive && vm.State != platform.VMLeaving) {
			return fmt.Errorf("VM id %q is empty or its state %q is unknown", vm.ID, vm.State)
		}
	}
	return nil
}
