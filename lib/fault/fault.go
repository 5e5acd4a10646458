package fault

import "github.com/cockroachdb/errors"

// A Kind classifies a fault so that callers can decide what to do about it.
type Kind int

const (
	// Internal marks a broken assumption of the program itself.
	Internal Kind = iota
	// Invalid marks input that can never be accepted as it is.
	Invalid
	// Stale marks a change that was based on an older version.
	Stale
	// Unavailable marks a dependency that does not answer now.
	Unavailable
	// Untrusted marks a message from an address that is not a member.
	Untrusted
	// Missing marks an object that does not exist.
	Missing
)

// String returns the kind's name as it appears in logs and JSON.
func (k Kind) String() string {
	switch k {
	case Invalid:
		return "invalid"
	case Stale:
		return "stale"
	case Unavailable:
		return "unavailable"
	case Untrusted:
		return "untrusted"
	case Missing:
		return "missing"
	default:
		return "internal"
	}
}

// A Fault is an error with a kind and the remedy that the reader should try.
type Fault struct {
	Cause  error
	Kind   Kind
	Remedy string
	What   string
}

// New returns a Fault without a cause.
func New(kind Kind, what, remedy string) *Fault {
	return &Fault{Kind: kind, Remedy: remedy, What: what}
}

// Wrap returns a Fault that keeps its cause.
func Wrap(cause error, kind Kind, what, remedy string) *Fault {
	return &Fault{Cause: cause, Kind: kind, Remedy: remedy, What: what}
}

// Error returns what happened, why, and the remedy, on one line.
func (f *Fault) Error() string {
	text := f.What
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	if f.Remedy == "" {
		return text
	}
	return text + "; " + f.Remedy
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

// KindOf returns the kind of the first Fault in the chain, or Internal when there is none.
func KindOf(err error) Kind {
	var f *Fault
	if errors.As(err, &f) {
		return f.Kind
	}
	return Internal
}

// Is reports whether the first Fault in the chain has the given kind.
func Is(err error, kind Kind) bool {
	var f *Fault
	return errors.As(err, &f) && f.Kind == kind
}

var _ error = (*Fault)(nil)
