// Package flowtrace merges the log lines of several processes about one flow into one history in causal
// order: a line never precedes the one that caused it, even though the clocks of VMs differ.
package flowtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Line is one log line about a flow.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"msg"`
	Flow    string    `json:"flow"`
	Outcome string    `json:"outcome"`
	// Entry is the address of the entry that handles the flow.
	Entry string `json:"entry"`
	// Visit is the index of the agent that an offer visits.
	Visit int `json:"visit"`
	// Fields holds all fields of the line.
	Fields map[string]any `json:"-"`
}

// maxLine bounds the length of a line in bytes.
const maxLine = 1 << 20

// Read returns the lines about a flow. Text before a line's JSON, such as a timestamp or a name added by a
// log collector, is ignored, and lines that aren't about the flow are skipped.
func Read(r io.Reader, flow string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(text[start:], &l) != nil || l.Flow != flow {
			continue
		}
		if err := json.Unmarshal(text[start:], &l.Fields); err != nil {
			return nil, fmt.Errorf("reading the fields of a line: %w", err)
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading log lines: %w", err)
	}
	return lines, nil
}

// causes reports whether l caused other.
func (l Line) causes(other Line) bool {
	switch {
	case l.Message == "open" && l.Outcome == "offered" && other.Message == "offer":
		return l.Entry == other.Entry && l.attempt() <= 1
	case l.Message == "offer" && other.Message == "offer":
		return l.Entry == other.Entry && l.Visit < other.Visit && l.Outcome == "pass" && other.Outcome != "return"
	case l.Message == "offer" && other.Message == "held flow given to the host":
		return l.Node == other.Node
	}
	return false
}

func (l Line) attempt() int {
	n, _ := l.Fields["attempt"].(float64)
	return int(n)
}

// Order sorts lines: lines of one node keep their order, causes precede their effects, and timestamps decide
// otherwise.
func Order(lines []Line) []Line {
	remaining := slices.Clone(lines)
	out := make([]Line, 0, len(lines))
	for len(remaining) > 0 {
		next := -1
		for i, l := range remaining {
			if hasNoPredecessor(i, remaining) && (next < 0 || l.Time.Before(remaining[next].Time)) {
				next = i
			}
		}
		if next < 0 {
			// Lines of repeated attempts can form a cycle. It is broken at the first remaining line.
			next = 0
		}
		out = append(out, remaining[next])
		remaining = slices.Delete(remaining, next, next+1)
	}
	return out
}

// hasNoPredecessor reports whether no other remaining line has to precede the ith.
func hasNoPredecessor(i int, remaining []Line) bool {
	for j, other := range remaining {
		if j < i && other.Node == remaining[i].Node || j != i && other.causes(remaining[i]) {
			return false
		}
	}
	return true
}

// Write writes lines as a table of tab-separated columns.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.Time.Format("15:04:05.000"), l.Node, l.Message, l.Outcome, l.otherFields()); err != nil {
			return fmt.Errorf("writing the history: %w", err)
		}
	}
	return nil
}

// otherFields formats the fields that have no column of their own.
func (l Line) otherFields() string {
	var text []byte
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		switch key {
		case "time", "level", "msg", "node", "flow", "outcome":
		default:
			text = fmt.Appendf(text, "%s=%v ", key, l.Fields[key])
		}
	}
	return string(bytes.TrimSpace(text))
}
