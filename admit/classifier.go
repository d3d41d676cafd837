package admit

import (
	"container/list"
	"slices"
	"strings"
	"time"
)

// longFactor is how many times the service's median run time makes work long.
const longFactor = 10

// minSamples is the number of run times of a pattern before its class is learned, so that one
// slow request does not turn a lookup into long work.
const minSamples = 3

// medianWindow is the number of latest run times that the median comes from.
const medianWindow = 256

// DefaultMaxPatterns bounds the learned patterns.
const DefaultMaxPatterns = 512

// maxSegments is the number of path segments that a pattern keeps.
const maxSegments = 4

// Reasons of classes.
const (
	ReasonDeclared = "declared prefix"
	ReasonLearned  = "learned run time"
	ReasonUnknown  = "not yet learned"
)

// ClassifierConfig configures a Classifier.
type ClassifierConfig struct {
	// MaxPatterns bounds the patterns; 0 means DefaultMaxPatterns.
	MaxPatterns int
}

// Classifier finds the class of a request. It is not safe for concurrent use.
type Classifier struct {
	cfg ClassifierConfig
	// patterns holds at most cfg.MaxPatterns elements of recent.
	patterns map[string]*list.Element
	// recent holds *pattern, latest use first.
	recent *list.List
	// runs is a ring of the latest run times; next is the place of the next one.
	runs []time.Duration
	next int
	// median is computed again after each medianWindow/8 run times.
	median  time.Duration
	pending int
}

type pattern struct {
	name    string
	samples int
	// slow is the share of recent run times above longFactor times the median, 0 to 1.
	slow float64
}

// NewClassifier returns a classifier that has learned nothing.
func NewClassifier(cfg ClassifierConfig) *Classifier {
	if cfg.MaxPatterns <= 0 {
		cfg.MaxPatterns = DefaultMaxPatterns
	}
	return &Classifier{cfg: cfg, patterns: make(map[string]*list.Element), recent: list.New()}
}

// Classify returns the class of a path and the reason. long and short are the declared
// prefixes; the longest one wins, and of equal ones the long one.
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
	if p.slow > 0.5 {
		return Long, ReasonLearned
	}
	return Short, ReasonLearned
}

// Learn adds a measured run time.
func (c *Classifier) Learn(method, path string, d time.Duration) {
	c.learnMedian(d)
	p := c.use(patternOf(method, path))
	p.samples++
	slow := 0.0
	if d > longFactor*c.median {
		slow = 1
	}
	// A share and not a mean: one very slow lookup would lift a mean above the limit. The
	// weight never falls below 1/8, so that a pattern that changes is found again.
	p.slow += (slow - p.slow) / float64(min(p.samples, 8))
}

func (c *Classifier) use(name string) *pattern {
	if e, ok := c.patterns[name]; ok {
		c.recent.MoveToFront(e)
		return e.Value.(*pattern)
	}
	if c.recent.Len() >= c.cfg.MaxPatterns {
		last := c.recent.Back()
		delete(c.patterns, last.Value.(*pattern).name)
		c.recent.Remove(last)
	}
	p := &pattern{name: name}
	c.patterns[name] = c.recent.PushFront(p)
	return p
}

func (c *Classifier) learnMedian(d time.Duration) {
	if len(c.runs) < medianWindow {
		c.runs = append(c.runs, d)
	} else {
		c.runs[c.next] = d
		c.next = (c.next + 1) % medianWindow
	}
	c.pending++
	if c.median != 0 && c.pending < medianWindow/8 {
		return
	}
	c.pending = 0
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

// patternOf replaces segments that hold a digit, which are mostly identifiers, and
// cuts long paths.
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
