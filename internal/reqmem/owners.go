package reqmem

// owned is the memory of the large bodies of one address or workspace.
type owned struct {
	// held is that of all bodies, and complete that of the bodies whose requests have been forwarded.
	held, complete int64
}

// addOwners adds memory to that of the address and of the workspace of a grant.
func (a *Account) addOwners(g *Grant, n owned) {
	addOwner(a.addresses, g.claim.Address, n)
	addOwner(a.workspaces, g.claim.Workspace, n)
}

func addOwner(owners map[string]owned, name string, n owned) {
	if name == "" {
		return
	}
	sum := owned{held: owners[name].held + n.held, complete: owners[name].complete + n.complete}
	if sum == (owned{}) {
		delete(owners, name)
		return
	}
	owners[name] = sum
}

// withinShare reports whether the address and the workspace of a grant may hold n more bytes.
func (a *Account) withinShare(g *Grant, n int64) bool {
	share := a.share()
	return a.addresses[g.claim.Address].held+n <= share && a.workspaces[g.claim.Workspace].held+n <= share
}

// share returns the bytes that the bodies of one address or workspace may hold. The senior may exceed it.
func (a *Account) share() int64 { return max(int64(callerShare*float64(a.budget)), a.maxBody) }

// maySucceed reports whether a body may become the senior. Only the forwarded bodies of its address and workspace count:
// if all memory is held by bodies that wait, one of them must be able to become the senior.
func (a *Account) maySucceed(g *Grant) bool {
	limit := a.share() - a.maxBody
	return a.addresses[g.claim.Address].complete <= limit && a.workspaces[g.claim.Workspace].complete <= limit
}
