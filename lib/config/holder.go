package config

// A Holder is one process's replica of the configuration, which never goes back.
type Holder struct {
	current Config
	entries []Entry // the latest ones, oldest first
}

// heldEntries is how many accepted patches a replica keeps for replicas that lag.
const heldEntries = 256

// Current returns the configuration in force here.
func (h *Holder) Current() Config { return h.current }

// Offer applies the entries that follow the current version, and reports whether anything
// changed and whether entries are missing in between.
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
		h.keep(entry)
		changed = true
	}
	return changed, false
}

// OfferWhole takes a whole configuration when it is newer and reports whether it did.
func (h *Holder) OfferWhole(c Config) bool {
	if c.Version <= h.current.Version {
		return false
	}
	h.current = c
	h.entries = nil
	return true
}

// Since returns the entries after a version, or false when they are no longer all kept.
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

func (h *Holder) keep(entry Entry) {
	h.entries = append(h.entries, entry)
	if len(h.entries) > heldEntries {
		h.entries = append([]Entry(nil), h.entries[len(h.entries)-heldEntries:]...)
	}
}
