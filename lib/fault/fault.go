package fault

import "github.com/cockroachdb/errors"

// Kind classifies a fault so that the calling code can decide how to handle it.
type Kind int

const (
	// Internal marks a bug or a violated invariant of the program itself.
	Internal Kind = iota
	// Invalid marks input that must be corrected before it can be accepted.
	Invalid
	// Stale marks a change that was based on an outdated version.
	Stale
	// Unavailable marks a dependency that does not respond at present.
	Unavailable
	// Untrusted marks a message from an address that is not allowed.
	Untrusted
	// Missing marks an object that does not exist.
	Missing
)

// String returns the kind's name, as logs and JSON output show it.
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

// Fault is an error with a kind and the remedy that the reader should apply.
type Fault struct {
	Cause   error // may be nil
	Kind    Kind
	Message string // what happened
	Remedy  string // what to do about it; may be empty
}

// New returns a Fault without a cause.
func New(kind Kind, message, remedy string) *Fault {
	return &Fault{Kind: kind, Message: message, Remedy: remedy}
}

// Wrap returns a Fault that keeps its cause.
func Wrap(cause error, kind Kind, message, remedy string) *Fault {
	return &Fault{Cause: cause, Kind: kind, Message: message, Remedy: remedy}
}

// Error returns the message, the cause and the remedy on one line, as "message: cause; remedy".
func (f *Fault) Error() string {
	text := f.Message
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
