package replica

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/membership"
	"github.com/chivewind/chivewind/peer"
)

// Reserved names in lists of versions.
const (
	// digestName carries the digest of all documents, so that a packet stays small however many
	// documents there are.
	digestName = ""
	// membersName carries the digest of the members in a SyncRequest or SyncReply.
	membersName = membership.MembersVersion
)

// maxNamed bounds the documents named in one packet.
const maxNamed = 6

// recentVersion is a changed document and the number of packets that named it.
type recentVersion struct {
	name  string
	sends int
}

// versionHash is a document's part of the digest; version 0 has none.
func versionHash(name string, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(name)
	var b [9]byte
	for i := range 8 {
		b[i+1] = byte(version >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

func (r *Replica) addRecent(name string) {
	for i := range r.recent {
		if r.recent[i].name == name {
			r.recent[i].sends = 0
			return
		}
	}
	r.recent = append(r.recent, recentVersion{name: name})
}

// HeartbeatVersions implements membership.Documents: the digest and the latest changes, each in as
// many packets as a membership update.
func (r *Replica) HeartbeatVersions() []*peer.DocumentVersion {
	limit := 3 * bits.Len(uint(len(r.members.Live())+1))
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*peer.DocumentVersion{{Name: digestName, Version: r.digest}}
	sort.SliceStable(r.recent, func(i, j int) bool { return r.recent[i].sends < r.recent[j].sends })
	kept := r.recent[:0]
	for i, v := range r.recent {
		if i < maxNamed {
			list = append(list, &peer.DocumentVersion{Name: v.name, Version: r.documents[v.name].version})
			v.sends++
		}
		if v.sends < limit {
			kept = append(kept, v)
		}
	}
	r.recent = kept
	return list
}

// ObserveVersions implements membership.Documents.
func (r *Replica) ObserveVersions(from *peer.Member, versions []*peer.DocumentVersion) {
	var want []string
	r.mu.Lock()
	for _, v := range versions {
		switch v.Name {
		case digestName:
			if v.Version == r.digest {
				r.checked = r.now()
			}
			continue
		case membersName:
			continue
		}
		have := uint64(0)
		if d, ok := r.documents[v.Name]; ok {
			have = d.version
		}
		if v.Version > have && v.Version > r.pulling[v.Name] {
			r.pulling[v.Name] = v.Version
			want = append(want, v.Name)
		}
	}
	r.mu.Unlock()
	if len(want) > 0 {
		r.pull(from, want)
	}
}

// versions lists all documents with both digests.
func (r *Replica) versions() []*peer.DocumentVersion {
	members := r.members.Digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*peer.DocumentVersion{
		{Name: digestName, Version: r.digest},
		{Name: membersName, Version: members},
	}
	for name, d := range r.documents {
		list = append(list, &peer.DocumentVersion{Name: name, Version: d.version})
	}
	return list
}
