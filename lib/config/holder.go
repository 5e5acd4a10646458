package config

// A Holder is one process's replica of the configuration; its version never decreases.
type Holder struct {
	current Config
	entries []Entry // up to the current version, oldest first
}

// maxHeldEntries is the number of accepted patches that a replica keeps to serve replicas that lag behind.
const maxHeldEntries = 256

// Current returns the configuration in force in this process.
func (h *Holder) Current() Config { return h.current }

// Offer applies the entries that follow the current version and reports whether anything has changed, and whether
// there is a gap: an entry that doesn't follow directly or can't be applied.
func (h *Holder) Offer(entries []Entry) (changed, gap bool) {
	for _, entry := range entries {
		if entry.Version <= h.current.Version {
			continue
		}
		if entry.Version != h.current.Version+1 {
			return changed, true
		}
		next, err := Apply(h.current, entry.Patch)
		if err != nil {
			return changed, true
		}
		h.current = next
		h.appendEntry(entry)
		changed = true
	}
	return changed, false
}

// OfferWhole replaces the configuration by a newer one and reports whether it did; an older one is ignored.
func (h *Holder) OfferWhole(newer Config) bool {
	if newer.Version <= h.current.Version {
		return false
	}
	h.current = newer
	h.entries = nil
	return true
}

// Since returns the entries after a version, or false when some of them are no longer kept.
func (h *Holder) Since(version uint64) ([]Entry, bool) {
	if version >= h.current.Version {
		return nil, true
	}
	missing := h.current.Version - version
	if missing > uint64(len(h.entries)) {
		return nil, false
	}
	return h.entries[uint64(len(h.entries))-missing:], true
}

func (h *Holder) appendEntry(entry Entry) {
	h.entries = append(h.entries, entry)
	if len(h.entries) > maxHeldEntries {
		h.entries = append([]Entry(nil), h.entries[len(h.entries)-maxHeldEntries:]...)
	}
}
