// Package flowtrace joins the log lines of several processes about one flow to
// one history, in the order of cause: a line never stands before the one that led to
// it, although the clocks of VMs differ.
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
	// Entry is the address of the entry that a line is about or of.
	Entry string `json:"entry"`
	// Visit is the index of the agent that an offer visits.
	Visit int `json:"visit"`
	// Fields are all fields of the line.
	Fields map[string]any `json:"-"`
}

// maxLine bounds a line.
const maxLine = 1 << 20

// Read returns the lines about a flow. What stands before a line's JSON, such as
// a time or a name that a log collector adds, is passed over, and so are other lines.
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

// causes says whether one line led to another on another node.
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

// Order sorts lines: those of one node keep their order, causes stand before their
// effects, and the clocks decide about the rest.
func Order(lines []Line) []Line {
	waiting := slices.Clone(lines)
	out := make([]Line, 0, len(lines))
	for len(waiting) > 0 {
		next := -1
		for i, l := range waiting {
			if isFree(i, waiting) && (next < 0 || l.Time.Before(waiting[next].Time)) {
				next = i
			}
		}
		if next < 0 {
			// Lines of repeated attempts can form a circle; the clocks break it.
			next = 0
		}
		out = append(out, waiting[next])
		waiting = slices.Delete(waiting, next, next+1)
	}
	return out
}

// isFree says whether no other waiting line has to stand before the ith.
func isFree(i int, waiting []Line) bool {
	for j, other := range waiting {
		if j < i && other.Node == waiting[i].Node || j != i && other.causes(waiting[i]) {
			return false
		}
	}
	return true
}

// Write writes lines as a table.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.Time.Format("15:04:05.000"), l.Node, l.Message, l.Outcome, l.rest()); err != nil {
			return fmt.Errorf("writing the history: %w", err)
		}
	}
	return nil
}

// rest returns the fields that have no column of their own.
func (l Line) rest() string {
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
