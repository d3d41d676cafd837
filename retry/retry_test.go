package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/retry"
	_ "endiveflow.example/endiveflow/testseed"
)

var now = time.Unix(1_800_000_000, 0)

// Guards against a POST that is considered repeatable without a rule, and against rules that apply
// outside their prefix.
func TestRepeatable(t *testing.T) {
	rules := []config.RepeatRule{
		{Method: "POST", Prefix: "/search", Repeatable: true},
		{Method: "POST", Prefix: "/search/save", Repeatable: false},
		{Method: "", Prefix: "/once", Repeatable: false},
		{Method: "POST", Prefix: "/both", Repeatable: false},
		{Method: "POST", Prefix: "/both", Repeatable: true},
	}
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/", true}, {"HEAD", "/", true}, {"OPTIONS", "/", true}, {"PUT", "/", true}, {"DELETE", "/", true},
		{"POST", "/", false}, {"PATCH", "/search", false}, {"BREW", "/", false}, {"get", "/", false},
		{"POST", "/search", true}, {"POST", "/search/save/1", false}, {"GET", "/once/a", false}, {"POST", "/both", false},
	} {
		require.Equal(t, c.want, retry.Repeatable(c.method, c.path, rules), "%s %s", c.method, c.path)
	}
}

// Guards against a missing or misspelled outcome that is parsed as NotRun.
func TestOutcomeIsParsedExactly(t *testing.T) {
	for _, o := range []retry.Outcome{retry.Answered, retry.NotRun, retry.Unknown} {
		require.Equal(t, o, retry.ParseOutcome(o.String()))
	}
	for _, text := range []string{"", "Not-Run", "not-run ", "notrun"} {
		require.Equal(t, retry.Unknown, retry.ParseOutcome(text))
	}
}

// Guards against a retry storm: retries that exceed the share of requests at any time, also after
// an idle period and with a changing share.
func TestRetriesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget, clock := retry.NewBudget(retry.BudgetConfig{}), now
		earned, retries := 0.0, 0
		burst := 0
		rt.Repeat(map[string]func(*rapid.T){
			"request": func(rt *rapid.T) {
				share := rapid.SampledFrom([]float64{0, 0.1, 0.3, 1}).Draw(rt, "share")
				budget.AddRequest(share, clock)
				earned += share
				burst = 0
			},
			"requests": func(*rapid.T) {
				for range 200 {
					budget.AddRequest(0.1, clock)
				}
				earned += 20
				burst = 0
			},
			"retries": func(*rapid.T) {
				for range 15 {
					if budget.Take(clock) {
						retries++
						burst++
					}
				}
				require.LessOrEqual(t, float64(retries), earned+1e-6)
				require.LessOrEqual(t, burst, retry.DefaultBurst)
			},
			"pass": func(rt *rapid.T) {
				idle := time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds")) * time.Second
				clock = clock.Add(idle)
				if idle > 10*time.Second {
					require.False(t, budget.Take(clock), "retries earned before an idle period are used")
				}
			},
		})
	})
}

// Guards against a retry of a non-repeatable request that may have run, and against a budget that is
// charged although no retry is allowed.
func TestMayRetry(t *testing.T) {
	budget := retry.NewBudget(retry.BudgetConfig{})
	budget.AddRequest(1, now)
	soon, later := now.Add(time.Millisecond), now.Add(time.Second)
	for _, c := range []struct {
		attempt retry.Attempt
		reason  string
	}{
		{retry.Attempt{Outcome: retry.Unknown, Deadline: later}, retry.ReasonNotRepeatable},
		{retry.Attempt{Outcome: 0, Deadline: later}, retry.ReasonNotRepeatable},
		{retry.Attempt{Outcome: retry.Answered, Repeatable: true, Deadline: later}, retry.ReasonAnswered},
		{retry.Attempt{Outcome: retry.NotRun, Deadline: soon, MinDuration: 5 * time.Millisecond}, retry.ReasonDeadline},
		{retry.Attempt{Outcome: retry.NotRun, Deadline: later}, retry.ReasonNotRun},
		{retry.Attempt{Outcome: retry.Unknown, Repeatable: true, Deadline: later}, retry.ReasonBudget},
	} {
		d := retry.MayRetry(c.attempt, budget, now)
		require.Equal(t, c.reason, d.Reason)
		require.Equal(t, c.reason == retry.ReasonNotRun, d.Retry)
	}
}

// Guards against a budget that withholds everything from a process without requests, and against one that
// accumulates more than its limit.
func TestBudgetEarnsRetriesOverTime(t *testing.T) {
	budget := retry.NewBudget(retry.BudgetConfig{Burst: 8, PerSecond: 4})
	require.Equal(t, 8, budget.TakeUpTo(20, now))
	require.False(t, budget.Take(now.Add(200*time.Millisecond)))
	require.Equal(t, 2, budget.TakeUpTo(20, now.Add(700*time.Millisecond)))
	require.Equal(t, 8, budget.TakeUpTo(20, now.Add(time.Hour)))
}
