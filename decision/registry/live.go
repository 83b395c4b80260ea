package registry

// Live returns the entries that are in the store or may be republished, of services that known
// accepts. Of several entries with one address only the current one is returned.
func (t *Table) Live(known func(service string) bool) []Entry {
	byAddress := make(map[string]*record, len(t.records))
	var shared map[string][]*record // addresses with several entries
	for _, r := range t.records {
		r.hidden, r.refuted = false, false
		if !r.present || !known(r.entry.Service) {
			continue
		}
		address := r.entry.Address
		first, taken := byAddress[address]
		if !taken {
			byAddress[address] = r
			continue
		}
		if shared == nil {
			shared = make(map[string][]*record)
		}
		if len(shared[address]) == 0 {
			shared[address] = append(shared[address], first)
		}
		shared[address] = append(shared[address], r)
	}
	live := make([]Entry, 0, len(byAddress))
	for address, r := range byAddress {
		if shared[address] == nil {
			live = append(live, r.entry)
		}
	}
	for _, group := range shared {
		live = appendCurrent(live, group)
	}
	return live
}

// appendCurrent appends the entry of the latest start of a group with one address. An endpoint
// that was restarted under another ID, or whose address was given to another one, remains in the
// store for some heartbeats. A later start that was published only once is not credible while
// an earlier one still publishes: only one of them can run.
func appendCurrent(live []Entry, group []*record) []Entry {
	latest := int64(0)
	found := false
	for _, r := range group {
		r.refuted = r.disproved(group)
		r.hidden = r.refuted
		if !r.hidden && (!found || r.entry.StartedMs > latest) {
			latest, found = r.entry.StartedMs, true
		}
	}
	for _, r := range group {
		r.hidden = r.hidden || r.entry.StartedMs != latest
		if !r.hidden {
			live = append(live, r.entry)
		}
	}
	return live
}

// disproved reports whether an earlier start at the same address has published twice since the
// run of this record, which has published only once, appeared. A single entry may have been on
// its way when the earlier run ended.
func (r *record) disproved(group []*record) bool {
	if r.publishedAt != r.appearedAt {
		return false
	}
	for _, other := range group {
		if other.entry.StartedMs < r.entry.StartedMs && other.publishedBefore > r.appearedAt {
			return true
		}
	}
	return false
}
