package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of the demo.
type Report struct {
	// Flows is the number of flows that were opened.
	Flows int `json:"flows"`
	// BrokenFlows is the number of flows that did not stay open to the end.
	BrokenFlows int `json:"brokenFlows"`
	// WrongAnswers is the number of answers that were truncated or belong to another request or service.
	WrongAnswers int `json:"wrongAnswers"`
	// DoubledRequests is the number of non-repeatable requests that ran more than once.
	DoubledRequests int `json:"doubledRequests"`
	// Outcomes counts the requests by outcome.
	Outcomes map[string]int `json:"outcomes"`
	// Percentiles of the latency that callers saw, in milliseconds.
	ShortP50Ms float64 `json:"shortP50Ms"`
	ShortP99Ms float64 `json:"shortP99Ms"`
	LongP50Ms  float64 `json:"longP50Ms"`
	LongP99Ms  float64 `json:"longP99Ms"`
	// Imbalance is the largest ratio, over all services, of the maximum to the mean number of requests that
	// an upstream of the service ran before one was drained.
	Imbalance float64 `json:"imbalance"`
	// LateWork is the number of requests that the drained upstream got more than two seconds after the
	// drain was accepted.
	LateWork int `json:"lateWork"`
	// ConfigVersion is the configuration version in force at every entry at the end, 0 if they differ.
	ConfigVersion uint64 `json:"configVersion"`
	// EntriesReplaced is the number of replaced entries.
	EntriesReplaced int `json:"entriesReplaced"`
	// Problems holds examples of the problems found.
	Problems []string `json:"problems,omitempty"`
}

// Passed reports whether all checks of the demo succeeded.
func (r Report) Passed() bool {
	return r.Flows > 0 && r.BrokenFlows == 0 && r.WrongAnswers == 0 && r.DoubledRequests == 0 &&
		r.LateWork == 0 && r.ConfigVersion > 0
}

// WriteTable writes the report as a human-readable table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := [][2]string{
		{"flows", fmt.Sprint(r.Flows)},
		{"broken flows", fmt.Sprint(r.BrokenFlows)},
		{"wrong or cut answers", fmt.Sprint(r.WrongAnswers)},
		{"doubled requests", fmt.Sprint(r.DoubledRequests)},
		{"requests by outcome", outcomeText(r.Outcomes)},
		{"short work p50/p99", fmt.Sprintf("%.1f / %.1f ms", r.ShortP50Ms, r.ShortP99Ms)},
		{"long work p50/p99", fmt.Sprintf("%.1f / %.1f ms", r.LongP50Ms, r.LongP99Ms)},
		{"max/mean per upstream", fmt.Sprintf("%.2f", r.Imbalance)},
		{"work after the drain", fmt.Sprint(r.LateWork)},
		{"entries replaced", fmt.Sprint(r.EntriesReplaced)},
		{"configuration version", fmt.Sprint(r.ConfigVersion)},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(t, "%s\t%s\n", row[0], row[1]); err != nil {
			return fmt.Errorf("writing report: %w", err)
		}
	}
	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(t, "problem\t%s\n", p); err != nil {
			return fmt.Errorf("writing report: %w", err)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("writing report: %w", err)
	}
	return nil
}

func outcomeText(outcomes map[string]int) string {
	var parts []string
	for name, n := range outcomes {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

const microsecondsPerMs = 1000.0

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsecondsPerMs
}
