package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// Class says what a finding is about.
type Class string

const (
	// ClassContradiction marks limits that can't both hold.
	ClassContradiction Class = "contradiction"
	// ClassDifference marks a difference from the version in force.
	ClassDifference Class = "difference"
	// ClassInvalid marks a value that would be refused or can't be used.
	ClassInvalid Class = "invalid"
	// ClassUnreachable marks an entry that no flow or request can match.
	ClassUnreachable Class = "unreachable"
)

// Severity says whether a finding speaks against sending the configuration.
type Severity string

const (
	// SeverityError marks a finding that must be corrected before the configuration is sent.
	SeverityError Severity = "error"
	// SeverityNote marks a finding that may be intended.
	SeverityNote Severity = "note"
)

const (
	// maxFindings is the maximum number of findings of one configuration.
	maxFindings = 1000
	// maxQuoted is the maximum length of a name or value in a text, in bytes.
	maxQuoted = 80
)

// Finding is one observation about a configuration.
type Finding struct {
	Class    Class
	Place    string // such as routes[3].timeout, in the names of the format that was read; empty for the whole configuration
	Remedy   string
	Severity Severity
	Text     string
}

// NotCompared returns a note that the configuration was not compared with the version in force.
func NotCompared(reason string) Finding {
	return Finding{Class: ClassDifference, Severity: SeverityNote, Text: reason + ", so that nothing is compared with it"}
}

// Refused returns an error for a configuration that its own decoder refuses although nothing else was found.
func Refused(cause error) Finding {
	return Finding{
		Class:    ClassInvalid,
		Remedy:   "correct the file",
		Severity: SeverityError,
		Text:     "the configuration would be refused: " + printable(cause.Error()),
	}
}

// Rejected returns an Invalid fault when there are errors among the findings of a file.
func Rejected(path string, findings []Finding) error {
	count := Errors(findings)
	if count == 0 {
		return nil
	}
	return fault.New(fault.Invalid, path+" has "+formatCount(count, "error"), "correct the places that are named")
}

// Errors returns the number of findings with severity error.
func Errors(findings []Finding) int {
	count := 0
	for _, finding := range findings {
		if finding.Severity == SeverityError {
			count++
		}
	}
	return count
}

// Merge returns the findings of reading a configuration and those of checking it, errors first, then by place and text.
// Findings of the check at a place with a reading error are left out, since the value there is not the one in the file, and
// so are equal findings and those beyond the first 1000.
func Merge(read, checked []Finding) []Finding {
	unread := map[string]bool{}
	for _, finding := range read {
		if finding.Severity == SeverityError {
			unread[finding.Place] = true
		}
	}
	merged := slices.Clone(read)
	for _, finding := range checked {
		if !unread[finding.Place] || finding.Class == ClassDifference {
			merged = append(merged, finding)
		}
	}
	slices.SortStableFunc(merged, compareFindings)
	merged = slices.Compact(merged)
	if len(merged) <= maxFindings {
		return merged
	}
	omitted := len(merged) - maxFindings
	severity := merged[maxFindings].Severity // the gravest of those left out
	return append(merged[:maxFindings], Finding{
		Class:    ClassInvalid,
		Remedy:   "correct the others first",
		Severity: severity,
		Text:     fmt.Sprintf("%d more findings are left out", omitted),
	})
}

func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(a.Severity, b.Severity), // "error" sorts before "note"
		comparePlaces(a.Place, b.Place),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Text, b.Text),
		cmp.Compare(a.Remedy, b.Remedy),
	)
}

// comparePlaces compares places by text, but numbers by value, so that routes[10] comes after routes[9].
func comparePlaces(a, b string) int {
	for a != "" && b != "" {
		aHead, aRest := cutRun(a)
		bHead, bRest := cutRun(b)
		if order := compareRuns(aHead, bHead); order != 0 {
			return order
		}
		a, b = aRest, bRest
	}
	return cmp.Compare(len(a), len(b))
}

func compareRuns(a, b string) int {
	if isDigit(a[0]) && isDigit(b[0]) {
		trimmedA, trimmedB := strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
		return cmp.Or(cmp.Compare(len(trimmedA), len(trimmedB)), cmp.Compare(trimmedA, trimmedB), cmp.Compare(len(a), len(b)))
	}
	return cmp.Compare(a, b)
}

// cutRun splits a text that is not empty after its first run of digits or of other bytes.
func cutRun(text string) (run, rest string) {
	for i := range len(text) {
		if isDigit(text[i]) != isDigit(text[0]) {
			return text[:i], text[i:]
		}
	}
	return text, ""
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// quote returns a name or value in quotes, shortened and without control characters, as it may come from any file.
func quote(text string) string {
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return strconv.Quote(text)
}
