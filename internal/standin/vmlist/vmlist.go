// Package vmlist is a stand-in for the platform's VM list: a JSON document with an ETag. VM states can be set,
// and changes become visible after a configurable lag.
package vmlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/standin"
	"github.com/chivewind/chivewind/platform"
)

// Paths of the stand-in.
const (
	// PathVMs returns the list by GET.
	PathVMs = "/vms"
	// PathAdmin takes an AdminRequest by POST.
	PathAdmin = "/admin/vms"
)

// AdminRequest changes the list, the lag of later changes and whether reads fail; absent fields change nothing.
type AdminRequest struct {
	Put    []platform.VM `json:"put,omitempty"`
	Remove []string      `json:"remove,omitempty"`
	LagMS  *int          `json:"lag_ms,omitempty"`
	Down   *bool         `json:"down,omitempty"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu   sync.Mutex
	lag  time.Duration
	down bool
	vms  map[string]platform.VM
	// versions contains the visible list and the later ones that are not visible yet, in order.
	versions []version
	reads    int
	mux      *http.ServeMux
}

// version is one version of the list.
type version struct {
	visibleFrom time.Time
	list        platform.VMs
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in with an empty list.
func New() *Server {
	s := &Server{vms: map[string]platform.VM{}, mux: http.NewServeMux()}
	s.versions = []version{{list: platform.VMs{Version: 1, VMs: []platform.VM{}}}}
	s.mux.HandleFunc("GET "+PathVMs, s.serveList)
	s.mux.HandleFunc("POST "+PathAdmin, s.serveAdmin)
	return s
}

// SetLag sets the time after which subsequent changes become visible.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetDown makes reads fail with an aborted connection.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put adds or replaces VMs in one change.
func (s *Server) Put(vms ...platform.VM) {
	s.change(func() {
		for _, vm := range vms {
			s.vms[vm.ID] = vm
		}
	})
}

// Remove deletes VMs in one change.
func (s *Server) Remove(ids ...string) {
	s.change(func() {
		for _, id := range ids {
			delete(s.vms, id)
		}
	})
}

func (s *Server) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	list := platform.VMs{Version: s.versions[len(s.versions)-1].list.Version + 1, VMs: []platform.VM{}}
	for _, vm := range s.vms {
		list.VMs = append(list.VMs, vm)
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].ID < list.VMs[j].ID })
	s.versions = append(s.versions, version{time.Now().Add(s.lag), list})
}

// ReadCount returns the number of reads so far, including failed ones.
func (s *Server) ReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// List returns the list that is visible now.
func (s *Server) List() platform.VMs {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.versions) > 1 && !s.versions[1].visibleFrom.After(now) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].list
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Listen serves on a TCP address until the returned server is closed. It also returns the bound address.
func (s *Server) Listen(address string) (*http.Server, string, error) {
	return standin.Listen(s, address)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reads++
	down := s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	list := s.List()
	etag := fmt.Sprintf("%q", fmt.Sprint(list.Version))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

func (s *Server) serveAdmin(w http.ResponseWriter, r *http.Request) {
	var in AdminRequest
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if in.LagMS != nil {
		s.SetLag(time.Duration(*in.LagMS) * time.Millisecond)
	}
	if in.Down != nil {
		s.SetDown(*in.Down)
	}
	if len(in.Put) > 0 {
		s.Put(in.Put...)
	}
	if len(in.Remove) > 0 {
		s.Remove(in.Remove...)
	}
}
