package cost_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/cost"
	"endiveflow.example/endiveflow/flow"
)

const fallback, typical = 30 * time.Millisecond, 20 * time.Millisecond

var light, heavy = flow.Endpoint{IP: 1, Port: 80}, flow.Endpoint{IP: 2, Port: 80}

// learn has an estimator observe a number of requests that took the same time.
func learn(e *cost.Estimator, c cost.Class, n int, took time.Duration) {
	for range n {
		e.Observe(c, took, 0)
	}
}

func requireExpected(t *testing.T, e *cost.Estimator, c cost.Class, now, want time.Duration) {
	t.Helper()
	require.InDelta(t, want.Seconds(), e.Expected(c, now, fallback).Seconds(), 0.001)
}

// Guards against one estimate for routes, or for first and later requests, that cost different amounts.
func TestClassesAreApart(t *testing.T) {
	e := cost.New(cost.Config{})
	learn(e, cost.Class{Route: light}, 200, 5*time.Millisecond)
	learn(e, cost.Class{Route: heavy}, 200, 60*time.Millisecond)
	learn(e, cost.Class{Route: heavy, Later: true}, 200, 90*time.Millisecond)
	requireExpected(t, e, cost.Class{Route: light}, 0, 5*time.Millisecond)
	requireExpected(t, e, cost.Class{Route: heavy}, 0, 60*time.Millisecond)
	requireExpected(t, e, cost.Class{Route: heavy, Later: true}, 0, 90*time.Millisecond)
}

// Guards against a restarted agent, or one with a new route, that knows nothing of it although the fleet does.
func TestStartsFromTheFleet(t *testing.T) {
	e := cost.New(cost.Config{})
	requireExpected(t, e, cost.Class{Route: light}, 0, fallback)
	e.SetTypical(light, typical, 0)
	requireExpected(t, e, cost.Class{Route: light}, 0, typical)
	require.Zero(t, e.Measured(light, 0), "the fleet's value must not confirm itself")
	learn(e, cost.Class{Route: light}, 100, 2*typical)
	e.SetTypical(heavy, 100*time.Millisecond, 0)
	requireExpected(t, e, cost.Class{Route: heavy}, 0, 200*time.Millisecond)
}

// Guards against one odd request that makes a host look slow, and against a host that answers at once without working and
// thereby gets all flows.
func TestFalseValuesAreBounded(t *testing.T) {
	e := cost.New(cost.Config{})
	e.SetTypical(light, typical, 0)
	learn(e, cost.Class{Route: light}, 1, time.Hour)
	requireExpected(t, e, cost.Class{Route: light}, 0, typical+(8-1)*typical/16)
	learn(e, cost.Class{Route: light}, 1000, 0)
	requireExpected(t, e, cost.Class{Route: light}, 0, typical)
	require.InDelta(t, typical.Seconds(), e.Measured(light, 0).Seconds(), 0.0001)
	learn(e, cost.Class{Route: light}, 1000, typical/3)
	requireExpected(t, e, cost.Class{Route: light}, 0, typical/2)
}

// Guards against a host that isn't used again because its estimate stays as it was when it was last used.
func TestUnusedEstimatesApproachTheFleet(t *testing.T) {
	e := cost.New(cost.Config{})
	e.SetTypical(light, typical, 0)
	learn(e, cost.Class{Route: light}, 1000, 3*typical)
	requireExpected(t, e, cost.Class{Route: light}, 10*time.Second, 2*typical)
	requireExpected(t, e, cost.Class{Route: light}, 5*time.Minute, typical)
}

// Guards against memory that grows with the number of routes, and against the loss of routes with open flows.
func TestRoutesAreBounded(t *testing.T) {
	e := cost.New(cost.Config{MaxRoutes: 2})
	e.FlowOpened(light, 0)
	e.SetTypical(light, typical, 0)
	for n := range uint32(100) {
		e.SetTypical(flow.Endpoint{IP: 100 + n}, 7*typical, time.Duration(n)*time.Minute)
	}
	requireExpected(t, e, cost.Class{Route: light}, 0, typical)
	require.Equal(t, 1, e.OpenFlows())
}

// Guards against open flows that count as no load between their requests, and against flows of one request that count as
// standing load, also when all callers open their flows anew at once.
func TestStandingLoad(t *testing.T) {
	e := cost.New(cost.Config{})
	learn(e, cost.Class{Route: heavy, Later: true}, 100, typical)
	for range 50 {
		e.FlowOpened(heavy, 0)
	}
	require.True(t, e.HasLongFlows(heavy))
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		e.LaterRequest(heavy, now)
	}
	require.InDelta(t, 100*typical.Seconds(), e.StandingLoad(time.Minute, fallback).Seconds(), 0.1)
	for range 50 {
		e.FlowClosed(heavy, false, time.Minute)
	}
	require.Zero(t, e.StandingLoad(time.Minute, fallback))
	e.FlowOpened(light, time.Minute)
	e.FlowClosed(light, true, time.Minute)
	require.False(t, e.HasLongFlows(light))
}
