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
	// ownZoneAddresses and otherAddresses are the numbers of addresses in an entry answer: enough
	// for a caller to have another one when a daemon or an availability zone fails.
	ownZoneAddresses = 3
	otherAddresses   = 2
	// ownZoneWeight and otherWeight make callers prefer their availability zone.
	ownZoneWeight = 100
	otherWeight   = 10
)

// EntryAnswer is the answer to GET /v1/entry.
type EntryAnswer struct {
	// Addresses are ordered by preference. A caller spreads its requests in proportion to the
	// weights and tries the next address when one fails.
	Addresses []EntryAddress `json:"addresses"`
	// ValidForMS is how long the answer may be kept.
	ValidForMS int64 `json:"valid_for_ms"`
}

// EntryAddress is one address of the callers' API.
type EntryAddress struct {
	URL    string `json:"url"`
	Zone   string `json:"zone"`
	Weight int    `json:"weight"`
}

// serveEntry names the entry addresses. It needs no key: a caller asks before it connects.
func (f *Front) serveEntry(w http.ResponseWriter, _ *http.Request) {
	answer := EntryAnswer{ValidForMS: f.o.Limits.EntryValidity.D().Milliseconds(), Addresses: f.addresses()}
	if len(answer.Addresses) == 0 {
		e := refusal(http.StatusServiceUnavailable, codeNoEntry, "this daemon has no current view of the entry addresses")
		e.RetryAfter = time.Second
		writeError(w, e, dispatch.NotRun)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(answer)
}

// addresses returns the addresses of live daemons in random order, own availability zone first.
// After a pause of this process it knows neither whether it is still a member nor who else is.
func (f *Front) addresses() []EntryAddress {
	if f.o.Members == nil {
		return []EntryAddress{{URL: f.o.SelfURL, Zone: f.o.Zone, Weight: ownZoneWeight}}
	}
	if !f.o.Members.Trusted() {
		return nil
	}
	live := slices.Clone(f.o.Members.Live())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var own, other []EntryAddress
	for _, m := range live {
		switch {
		case m.EntryUrl == "" || m.State == peer.MemberState_MEMBER_STATE_SUSPECT:
		case m.Zone == f.o.Zone:
			own = append(own, EntryAddress{URL: m.EntryUrl, Zone: m.Zone, Weight: ownZoneWeight})
		default:
			other = append(other, EntryAddress{URL: m.EntryUrl, Zone: m.Zone, Weight: otherWeight})
		}
	}
	own = own[:min(len(own), ownZoneAddresses)]
	other = other[:min(len(other), otherAddresses)]
	return append(own, other...)
}

// modelList is the answer to GET /v1/models.
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
	s, _, e := f.admit(r)
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
