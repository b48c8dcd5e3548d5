// Package vmwatch follows the platform's list of live and leaving VMs for the whole fleet. A few
// daemons poll the list; the others receive it as a replicated document.
package vmwatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/platform"
)

const (
	// document is the name of the replicated list.
	document = "vms"
	// RoleDaemon is the role of VMs that run this program.
	RoleDaemon = "daemon"
	// pollers is the number of daemons that poll, so that the platform's load does not grow with
	// the fleet.
	pollers = 3
	// pollInterval is the time between polls of one poller.
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
)

// Watcher is one daemon's copy of the list.
type Watcher struct {
	list      platform.VMList
	members   cluster.Members
	documents cluster.Documents
	log       hclog.Logger
	errors    metrics.Counter

	// mu guards the fields below; it is not held while subscribers run.
	mu          sync.Mutex
	vms         platform.VMs
	seen        map[string]bool
	failing     bool
	subscribers []func()
}

// Options has what a Watcher needs.
type Options struct {
	List      platform.VMList
	Members   cluster.Members
	Documents cluster.Documents
	Log       hclog.Logger
	Metrics   metrics.Registry
}

// New returns a watcher without a list.
func New(o Options) *Watcher {
	w := &Watcher{list: o.List, members: o.Members, documents: o.Documents, log: o.Log,
		errors: metrics.GetOrRegisterCounter("chivewind_vm_list_errors_total", o.Metrics), seen: map[string]bool{}}
	o.Documents.Subscribe(func(name string, _ uint64, content []byte) {
		if name == document {
			w.apply(content)
		}
	})
	return w
}

// Subscribe calls f after each change of the list. f must not block.
func (w *Watcher) Subscribe(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, f)
}

// Run polls while this daemon is one of the pollers.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if w.isPoller() {
			w.poll(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (w *Watcher) isPoller() bool {
	for _, m := range w.members.Owners("vm-list", pollers) {
		if m.Id == w.members.Self().Id {
			return true
		}
	}
	return false
}

// poll reads the list and publishes a newer version. The last known list stays during an outage.
func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := w.list.List(ctx)
	w.noteOutcome(err)
	if err != nil {
		return
	}
	content, err := json.Marshal(vms)
	if err != nil {
		return
	}
	w.documents.Publish(document, vms.Version, content)
}

// noteOutcome counts errors and logs the beginning and the end of an outage.
func (w *Watcher) noteOutcome(err error) {
	if err != nil {
		w.errors.Inc(1)
	}
	w.mu.Lock()
	changed := w.failing != (err != nil)
	w.failing = err != nil
	w.mu.Unlock()
	switch {
	case changed && err != nil:
		w.log.Warn("VM list unavailable, the last known list stays in use", "error", err)
	case changed:
		w.log.Info("VM list available again")
	}
}

func (w *Watcher) apply(content []byte) {
	var vms platform.VMs
	if err := json.Unmarshal(content, &vms); err != nil {
		w.log.Error("replicated VM list is not readable", "error", err)
		return
	}
	w.mu.Lock()
	if vms.Version < w.vms.Version {
		w.mu.Unlock()
		return
	}
	w.vms = vms
	for _, vm := range vms.VMs {
		w.seen[vm.ID] = true
	}
	subscribers := w.subscribers
	w.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// Leaving returns the endpoints of a configuration whose VM is leaving, or was listed and is gone.
// A VM that was never listed says nothing about its endpoint, because the list lags.
func (w *Watcher) Leaving(s *config.Snapshot) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make(map[string]platform.VMState, len(w.vms.VMs))
	for _, vm := range w.vms.VMs {
		states[vm.ID] = vm.State
	}
	var leaving []string
	for id, e := range s.Endpoints {
		if e.VM != "" && w.seen[e.VM] && states[e.VM] != platform.VMLive {
			leaving = append(leaving, id)
		}
	}
	return leaving
}
