package soak

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Faults are the injected faults; Failures are the violated guarantees.
	Faults   []Event  `json:"faults"`
	Failures []string `json:"failures"`
	// Seconds holds the requests by the second in which they were sent.
	Seconds []Second `json:"seconds"`
	// Opened is the number of flows that hosts opened.
	Opened int `json:"opened"`
	// Elsewhere is the number of packets of open flows that reached other hosts than the flow's.
	Elsewhere int `json:"elsewhere"`
	// Resets is the number of resets, near the caller's last acknowledgement, of flows that no running host had;
	// DisregardedResets that of resets of open flows whose numbers callers disregard.
	Resets            int `json:"resets"`
	DisregardedResets int `json:"disregardedResets"`
	// EvacuationChecks is the number of opening packets at any host while an evacuation was in force and the store
	// undisturbed; EvacuationExcuses that of late ones at hosts of the evacuated zone beside a disturbance.
	EvacuationChecks  int `json:"evacuationChecks"`
	EvacuationExcuses int `json:"evacuationExcuses"`
}

// Event is a fault at a time since the start of the faults.
type Event struct {
	AtMs int64  `json:"atMs"`
	What string `json:"what"`
}

// Second counts the requests of one second.
type Second struct {
	Answered int `json:"answered"`
	// Late counts the answered requests that took longer than lateAfter.
	Late   int `json:"late"`
	Failed int `json:"failed"`
}

// lateAfter is the latency above which an answer counts as late.
const lateAfter = 250 * time.Millisecond

// WriteTimeline writes a summary, a line for each second with its requests and faults, and the failures.
func (r Report) WriteTimeline(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "seed %d: %d flows opened, %d packets at other hosts, %d faults, %d failures\n",
		r.Seed, r.Opened, r.Elsewhere, len(r.Faults), len(r.Failures)); err != nil {
		return fmt.Errorf("writing the timeline: %w", err)
	}
	if _, err := fmt.Fprintf(w, "%d resets of lost flows, %d disregarded resets of open flows; %d opening packets checked during evacuations, %d late ones excused\n",
		r.Resets, r.DisregardedResets, r.EvacuationChecks, r.EvacuationExcuses); err != nil {
		return fmt.Errorf("writing the timeline: %w", err)
	}
	for n, s := range r.Seconds {
		var faults []string
		for _, e := range r.Faults {
			if int(e.AtMs/1000) == n {
				faults = append(faults, e.What)
			}
		}
		bar := strings.Repeat("#", s.Answered/8) + strings.Repeat("~", s.Late/8) + strings.Repeat("x", s.Failed)
		if _, err := fmt.Fprintf(w, "%3d s  %4d answered %3d late %3d failed  %-30s %s\n", n, s.Answered, s.Late, s.Failed, bar, strings.Join(faults, "; ")); err != nil {
			return fmt.Errorf("writing the timeline: %w", err)
		}
	}
	for _, f := range r.Failures {
		if _, err := fmt.Fprintf(w, "FAILED: %s\n", f); err != nil {
			return fmt.Errorf("writing the timeline: %w", err)
		}
	}
	return nil
}
