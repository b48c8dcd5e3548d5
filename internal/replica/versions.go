package replica

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/membership"
	"github.com/chivewind/chivewind/peer"
)

// Reserved names in lists of document versions.
const (
	// documentsDigestName carries the digest of all documents, which keeps packets small for any
	// number of documents.
	documentsDigestName = ""
	// membersDigestName carries the members digest. Package membership adds it to each packet, and this
	// package to each list of all versions.
	membersDigestName = membership.MembersDigestName
)

// maxNamedDocuments bounds the documents that one packet lists individually.
const maxNamedDocuments = 6

// recentChange is a changed document and the number of packets that have carried its version.
type recentChange struct {
	name      string
	transmits int
}

// versionHash returns a document's contribution to the digest, which is the XOR over all documents.
// Version 0 contributes nothing.
func versionHash(name string, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(name)
	// The first byte stays 0 and separates the name from the version.
	var b [9]byte
	for i := range 8 {
		b[i+1] = byte(version >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// addRecentChange lists a document in the next packets. If it is already listed, its transmit count
// starts again.
func (r *Replica) addRecentChange(name string) {
	for i := range r.recentChanges {
		if r.recentChanges[i].name == name {
			r.recentChanges[i].transmits = 0
			return
		}
	}
	r.recentChanges = append(r.recentChanges, recentChange{name: name})
}

// HeartbeatVersions implements membership.Documents. It returns the digest of the documents and the
// latest changes, each of which is sent in about as many packets as a membership update of package
// swim.
func (r *Replica) HeartbeatVersions() []*peer.DocumentVersion {
	limit := 3 * bits.Len(uint(len(r.members.Live())+1))
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*peer.DocumentVersion{{Name: documentsDigestName, Version: r.digest}}
	sort.SliceStable(r.recentChanges, func(i, j int) bool {
		return r.recentChanges[i].transmits < r.recentChanges[j].transmits
	})
	kept := r.recentChanges[:0]
	for i, v := range r.recentChanges {
		if i < maxNamedDocuments {
			list = append(list, &peer.DocumentVersion{Name: v.name, Version: r.documents[v.name].version})
			v.transmits++
		}
		if v.transmits < limit {
			kept = append(kept, v)
		}
	}
	r.recentChanges = kept
	return list
}

// ObserveVersions implements membership.Documents.
func (r *Replica) ObserveVersions(from *peer.Member, versions []*peer.DocumentVersion) {
	var want []string
	r.mu.Lock()
	for _, v := range versions {
		switch v.Name {
		case documentsDigestName:
			if v.Version == r.digest {
				r.confirmedAt = r.now()
			}
			continue
		case membersDigestName:
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

// allVersions returns the versions of all documents and both digests.
func (r *Replica) allVersions() []*peer.DocumentVersion {
	members := r.members.Digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*peer.DocumentVersion{
		{Name: documentsDigestName, Version: r.digest},
		{Name: membersDigestName, Version: members},
	}
	for name, d := range r.documents {
		list = append(list, &peer.DocumentVersion{Name: name, Version: d.version})
	}
	return list
}
