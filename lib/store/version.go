package store

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// Version identifies a change to an object. Revisions are comparable only within an era: a store that has lost its latest
// changes gives out their revisions again, in a later era.
type Version struct {
	Era      uint64 // how often the store has lost changes; starts anywhere
	Revision uint64 // grows with each change in an era, and is never zero for an object
}

// Compare orders versions by era and then by revision.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// IsZero reports whether the version is that of an object that does not exist.
func (v Version) IsZero() bool { return v.Revision == 0 }

// String returns the version's text form, which ParseVersion reads.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Era, v.Revision) }

// ParseVersion reads a version's text form, or returns an Invalid fault.
func ParseVersion(text string) (Version, error) {
	era, revision, found := strings.Cut(text, ".")
	v := Version{}
	var err error
	if v.Era, err = strconv.ParseUint(era, 10, 64); err == nil && found {
		v.Revision, err = strconv.ParseUint(revision, 10, 64)
	}
	if err != nil || !found {
		return Version{}, fault.Wrap(err, fault.Invalid, "the version "+text+" is malformed", "give an era and a revision, joined by a dot")
	}
	return v, nil
}
