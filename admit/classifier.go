package admit

import (
	"container/list"
	"slices"
	"strings"
	"time"
)

// longFactor is the multiple of the service's median run time above which a run counts as slow.
const longFactor = 10

// minSamples is the number of measured runs that a pattern needs before its class is learned, so that
// a single slow request does not make the pattern long work.
const minSamples = 3

// medianWindow is the number of latest run times that the median is computed from.
const medianWindow = 256

// DefaultMaxPatterns is the default bound on the number of learned patterns.
const DefaultMaxPatterns = 512

// maxSegments is the largest number of path segments in a pattern.
const maxSegments = 4

// Reasons for the class of a request.
const (
	ReasonDeclared = "declared prefix"
	ReasonLearned  = "learned run time"
	ReasonUnknown  = "not yet learned"
)

// ClassifierConfig configures a Classifier.
type ClassifierConfig struct {
	// MaxPatterns bounds the number of learned patterns; 0 means DefaultMaxPatterns.
	MaxPatterns int
}

// Classifier determines the class of a request from declared path prefixes and learned run times. It is
// not safe for concurrent use.
type Classifier struct {
	cfg ClassifierConfig
	// patterns maps the names of the learned patterns, at most cfg.MaxPatterns, to elements of lru.
	patterns map[string]*list.Element
	// lru holds values of type *pattern, most recently used first.
	lru *list.List
	// runs is a ring buffer of the latest run times; next is the index of the next one.
	runs []time.Duration
	next int
	// median is recomputed every medianWindow/8 run times; sinceMedian counts the run times since then.
	median      time.Duration
	sinceMedian int
}

// pattern is a method and a generalized path, see patternOf.
type pattern struct {
	name    string
	samples int
	// slowShare is the moving average of the share of runs slower than longFactor times the median, 0 to 1.
	slowShare float64
}

// NewClassifier returns a classifier without learned patterns.
func NewClassifier(cfg ClassifierConfig) *Classifier {
	if cfg.MaxPatterns <= 0 {
		cfg.MaxPatterns = DefaultMaxPatterns
	}
	return &Classifier{cfg: cfg, patterns: make(map[string]*list.Element), lru: list.New()}
}

// Classify returns the class of a request and the reason. long and short are the declared path
// prefixes of the two classes. The longest matching prefix decides; if two have equal length, the class
// is Long. Without a matching prefix the learned run times decide.
func (c *Classifier) Classify(method, path string, long, short []string) (Class, string) {
	l, s := longestPrefix(path, long), longestPrefix(path, short)
	switch {
	case l >= 0 && l >= s:
		return Long, ReasonDeclared
	case s >= 0:
		return Short, ReasonDeclared
	}
	e, ok := c.patterns[patternOf(method, path)]
	if !ok {
		return Short, ReasonUnknown
	}
	p := e.Value.(*pattern)
	if p.samples < minSamples || c.median == 0 {
		return Short, ReasonUnknown
	}
	if p.slowShare > 0.5 {
		return Long, ReasonLearned
	}
	return Short, ReasonLearned
}

// Learn adds the measured run time d of a request.
func (c *Classifier) Learn(method, path string, d time.Duration) {
	c.updateMedian(d)
	p := c.touch(patternOf(method, path))
	p.samples++
	slow := 0.0
	if d > longFactor*c.median {
		slow = 1
	}
	// The share of slow runs is used instead of their mean run time, since one very slow request would
	// lift the mean above the limit. The weight never falls below 1/8, so that a change is noticed.
	p.slowShare += (slow - p.slowShare) / float64(min(p.samples, 8))
}

// touch returns the pattern and marks it as the most recently used, adding it if need be.
func (c *Classifier) touch(name string) *pattern {
	if e, ok := c.patterns[name]; ok {
		c.lru.MoveToFront(e)
		return e.Value.(*pattern)
	}
	if c.lru.Len() >= c.cfg.MaxPatterns {
		last := c.lru.Back()
		delete(c.patterns, last.Value.(*pattern).name)
		c.lru.Remove(last)
	}
	p := &pattern{name: name}
	c.patterns[name] = c.lru.PushFront(p)
	return p
}

func (c *Classifier) updateMedian(d time.Duration) {
	if len(c.runs) < medianWindow {
		c.runs = append(c.runs, d)
	} else {
		c.runs[c.next] = d
		c.next = (c.next + 1) % medianWindow
	}
	c.sinceMedian++
	if c.median != 0 && c.sinceMedian < medianWindow/8 {
		return
	}
	c.sinceMedian = 0
	sorted := slices.Clone(c.runs)
	slices.Sort(sorted)
	c.median = max(sorted[len(sorted)/2], time.Nanosecond)
}

func longestPrefix(path string, prefixes []string) int {
	best := -1
	for _, p := range prefixes {
		if strings.HasPrefix(path, p) {
			best = max(best, len(p))
		}
	}
	return best
}

// patternOf returns the name of the pattern that a request belongs to. It replaces path segments with
// a digit, which are mostly identifiers, and overlong segments by "*", and drops the segments after the
// first maxSegments.
func patternOf(method, path string) string {
	segments := strings.SplitN(strings.Trim(path, "/"), "/", maxSegments+1)
	segments = segments[:min(len(segments), maxSegments)]
	for i, s := range segments {
		if strings.ContainsAny(s, "0123456789") || len(s) > 64 {
			segments[i] = "*"
		}
	}
	return method + " /" + strings.Join(segments, "/")
}
