package config

// Replica is one process's replica of the configuration; its version never decreases.
type Replica struct {
	current Config
	entries []Entry // up to the current version, oldest first
}

// maxKeptEntries is the number of accepted patches that a replica keeps to serve replicas that lag behind.
const maxKeptEntries = 256

// Current returns the configuration in force in this process.
func (r *Replica) Current() Config { return r.current }

// ApplyEntries applies the entries that follow the current version and reports whether anything has changed, and
// whether there is a gap: an entry that doesn't follow directly or can't be applied.
func (r *Replica) ApplyEntries(entries []Entry) (changed, gap bool) {
	for _, entry := range entries {
		if entry.Version <= r.current.Version {
			continue
		}
		if entry.Version != r.current.Version+1 {
			return changed, true
		}
		next, err := Apply(r.current, entry.Patch)
		if err != nil {
			return changed, true
		}
		r.current = next
		r.appendEntry(entry)
		changed = true
	}
	return changed, false
}

// Replace replaces the configuration with a newer one and reports whether it did; an older one is ignored.
func (r *Replica) Replace(newer Config) bool {
	if newer.Version <= r.current.Version {
		return false
	}
	r.current = newer
	r.entries = nil
	return true
}

// Since returns the entries after a version, or false when some of them are no longer kept.
func (r *Replica) Since(version uint64) ([]Entry, bool) {
	if version >= r.current.Version {
		return nil, true
	}
	missing := r.current.Version - version
	if missing > uint64(len(r.entries)) {
		return nil, false
	}
	return r.entries[uint64(len(r.entries))-missing:], true
}

func (r *Replica) appendEntry(entry Entry) {
	r.entries = append(r.entries, entry)
	if len(r.entries) > maxKeptEntries {
		r.entries = append([]Entry(nil), r.entries[len(r.entries)-maxKeptEntries:]...)
	}
}
