// Package vmwatch tracks the platform's list of live and leaving VMs. A few daemons poll the list and
// publish it as a replicated document, from which all daemons read it.
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
	// documentName is the name of the replicated document that holds the list.
	documentName = "vms"
	// pollerKey is the key with which rendezvous hashing selects the daemons that poll the list.
	pollerKey = "vm-list"
	// RoleDaemon is the role, in the VM list, of VMs that run this program.
	RoleDaemon = "daemon"
	// pollerCount is the number of daemons that poll the list. It is fixed, so that the load on the
	// platform does not grow with the number of daemons.
	pollerCount = 3
	// pollInterval is the time between polls by one daemon.
	pollInterval = time.Second
	// pollTimeout is the time limit of one poll.
	pollTimeout = 2 * time.Second
)

// Watcher holds one daemon's copy of the VM list. Its methods are safe for concurrent use.
type Watcher struct {
	list       platform.VMList
	members    cluster.Members
	documents  cluster.Documents
	log        hclog.Logger
	pollErrors metrics.Counter

	// mu guards the fields below; it is not held while subscribers run.
	mu  sync.Mutex
	vms platform.VMs
	// everListed holds the IDs of all VMs that have been in the list since the daemon started.
	everListed map[string]bool
	// unavailable is true if the last poll failed.
	unavailable bool
	subscribers []func()
}

// Options holds the dependencies of a Watcher.
type Options struct {
	List      platform.VMList
	Members   cluster.Members
	Documents cluster.Documents
	Log       hclog.Logger
	Metrics   metrics.Registry
}

// New returns a watcher with an empty list. It takes the list from the replicated document, which the Run methods
// of the polling daemons publish.
func New(o Options) *Watcher {
	w := &Watcher{list: o.List, members: o.Members, documents: o.Documents, log: o.Log,
		pollErrors: metrics.GetOrRegisterCounter("chivewind_vm_list_errors_total", o.Metrics), everListed: map[string]bool{}}
	o.Documents.Subscribe(func(name string, _ uint64, content []byte) {
		if name == documentName {
			w.applyDocument(content)
		}
	})
	return w
}

// Subscribe registers f to be called after each update of the list. f must not block.
func (w *Watcher) Subscribe(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, f)
}

// Run polls the list while this daemon is one of the pollers, until ctx ends. It always returns nil.
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

// isPoller reports whether this daemon is among the daemons that poll the list.
func (w *Watcher) isPoller() bool {
	for _, m := range w.members.Owners(pollerKey, pollerCount) {
		if m.Id == w.members.Self().Id {
			return true
		}
	}
	return false
}

// poll fetches the list and publishes it as a replicated document. When the platform does not answer, the
// last known list stays in use.
func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := w.list.List(ctx)
	w.recordPollResult(err)
	if err != nil {
		return
	}
	content, err := json.Marshal(vms)
	if err != nil {
		return
	}
	w.documents.Publish(documentName, vms.Version, content)
}

// recordPollResult counts failed polls and logs the start and the end of an outage of the VM list.
func (w *Watcher) recordPollResult(err error) {
	if err != nil {
		w.pollErrors.Inc(1)
	}
	w.mu.Lock()
	changed := w.unavailable != (err != nil)
	w.unavailable = err != nil
	w.mu.Unlock()
	switch {
	case changed && err != nil:
		w.log.Warn("VM list unavailable, the last known list stays in use", "error", err)
	case changed:
		w.log.Info("VM list available again")
	}
}

// applyDocument replaces the list with the content of a replicated document, unless that is an older version.
func (w *Watcher) applyDocument(content []byte) {
	var vms platform.VMs
	if err := json.Unmarshal(content, &vms); err != nil {
		w.log.Error("cannot decode the replicated VM list", "error", err)
		return
	}
	w.mu.Lock()
	if vms.Version < w.vms.Version {
		w.mu.Unlock()
		return
	}
	w.vms = vms
	for _, vm := range vms.VMs {
		w.everListed[vm.ID] = true
	}
	subscribers := w.subscribers
	w.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// LeavingEndpoints returns the IDs of the endpoints of a configuration whose VM is leaving or is no longer in the
// list, in no particular order. Endpoints whose VM was never in the list are left out, because the list
// may lag behind the configuration.
func (w *Watcher) LeavingEndpoints(s *config.Snapshot) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make(map[string]platform.VMState, len(w.vms.VMs))
	for _, vm := range w.vms.VMs {
		states[vm.ID] = vm.State
	}
	var leaving []string
	for id, e := range s.Endpoints {
		if e.VM != "" && w.everListed[e.VM] && states[e.VM] != platform.VMLive {
			leaving = append(leaving, id)
		}
	}
	return leaving
}
