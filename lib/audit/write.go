package audit

import (
	"encoding/json"
	"fmt"
	"io"
)

type findingJSON struct {
	Class    Class    `json:"class"`
	Place    string   `json:"place"`
	Remedy   string   `json:"remedy"`
	Severity Severity `json:"severity"`
	Text     string   `json:"text"`
}

type reportJSON struct {
	Errors   int           `json:"errors"`
	Findings []findingJSON `json:"findings"`
	Good     bool          `json:"good"`
	Notes    int           `json:"notes"`
}

// WriteJSON writes the findings as one line of JSON.
func WriteJSON(w io.Writer, findings []Finding) error {
	errors := Errors(findings)
	report := reportJSON{Errors: errors, Findings: make([]findingJSON, 0, len(findings)), Good: errors == 0, Notes: len(findings) - errors}
	for _, finding := range findings {
		report.Findings = append(report.Findings, findingJSON(finding))
	}
	return json.NewEncoder(w).Encode(report)
}

// WriteText writes one line for each finding and a last one with their number.
func WriteText(w io.Writer, findings []Finding) error {
	for _, finding := range findings {
		line := string(finding.Severity) + ": "
		if finding.Place != "" {
			line += finding.Place + ": "
		}
		line += finding.Text
		if finding.Remedy != "" {
			line += "; " + finding.Remedy
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	errors := Errors(findings)
	_, err := fmt.Fprintf(w, "%s, %s\n", formatCount(errors, "error"), formatCount(len(findings)-errors, "note"))
	return err
}

func formatCount(count int, what string) string {
	if count == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", count, what)
}
