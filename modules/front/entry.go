package front

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/peer"
)

const (
	// maxSameZoneAddresses and maxOtherZoneAddresses limit the addresses in an entry response. They leave
	// a client with an alternative when a daemon or an availability zone fails.
	maxSameZoneAddresses  = 3
	maxOtherZoneAddresses = 2
	// sameZoneWeight and otherZoneWeight make clients prefer daemons in the availability zone of the daemon
	// that serves the entry response.
	sameZoneWeight  = 100
	otherZoneWeight = 10
)

// EntryResponse is the response to GET /v1/entry.
type EntryResponse struct {
	// Addresses are ordered by preference. Clients are expected to distribute requests in proportion to the
	// weights and to try the next address when one fails.
	Addresses []EntryAddress `json:"addresses"`
	// ValidForMS is the time in milliseconds for which the response may be cached.
	ValidForMS int64 `json:"valid_for_ms"`
}

// EntryAddress is one address of the client API.
type EntryAddress struct {
	URL    string `json:"url"`
	Zone   string `json:"zone"`
	Weight int    `json:"weight"`
}

// serveEntry returns the entry addresses. It requires no API key, since clients call it before they send
// requests.
func (f *Front) serveEntry(w http.ResponseWriter, _ *http.Request) {
	entry := EntryResponse{ValidForMS: f.options.Limits.EntryValidity.D().Milliseconds(), Addresses: f.entryAddresses()}
	if len(entry.Addresses) == 0 {
		e := newError(http.StatusServiceUnavailable, codeNoEntry, "this daemon has no current view of the entry addresses")
		e.RetryAfter = time.Second
		writeError(w, e, dispatch.NotRun)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Clients cache the response for ValidForMS; HTTP caches, which do not know that limit, must not store it.
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(entry)
}

// entryAddresses returns a limited number of addresses of live daemons in random order, those of this
// daemon's availability zone first. Daemons that are suspected to have failed are left out. It returns none
// while the membership view is not fresh: after a pause of this process the view may be stale, and this
// daemon itself may no longer be a member.
func (f *Front) entryAddresses() []EntryAddress {
	if f.options.Members == nil {
		return []EntryAddress{{URL: f.options.SelfURL, Zone: f.options.Zone, Weight: sameZoneWeight}}
	}
	if !f.options.Members.ViewFresh() {
		return nil
	}
	live := slices.Clone(f.options.Members.Live())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var sameZone, otherZone []EntryAddress
	for _, m := range live {
		switch {
		case m.EntryUrl == "" || m.State == peer.MemberState_MEMBER_STATE_SUSPECT:
		case m.Zone == f.options.Zone:
			sameZone = append(sameZone, EntryAddress{URL: m.EntryUrl, Zone: m.Zone, Weight: sameZoneWeight})
		default:
			otherZone = append(otherZone, EntryAddress{URL: m.EntryUrl, Zone: m.Zone, Weight: otherZoneWeight})
		}
	}
	sameZone = sameZone[:min(len(sameZone), maxSameZoneAddresses)]
	otherZone = otherZone[:min(len(otherZone), maxOtherZoneAddresses)]
	return append(sameZone, otherZone...)
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the configuration serves.
func (f *Front) serveModels(w http.ResponseWriter, r *http.Request) {
	s, _, e := f.authenticateRequest(r)
	if e != nil {
		writeError(w, e, dispatch.NotRun)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, p := range s.Config.Pools {
		if p.Model != "" {
			list.Data = append(list.Data, model{ID: p.Model, Object: "model", OwnedBy: "chivewind"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
