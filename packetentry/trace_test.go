package packetentry_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtrace"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
)

// writeLogs writes the lines that logs have buffered.
func writeLogs(t *testing.T, logs ...*eventlog.Log) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, l := range logs {
		require.NoError(t, <-l.Run(ctx))
	}
}

// Guards against a history of a flow that lacks the hosts that its packets were given to: after a restart of all
// processes, agents probe their hosts until the flow's own one answers.
func TestTraceShowsProbes(t *testing.T) {
	f, callers := newFleet(2, 4)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(100 * time.Millisecond)
	var out bytes.Buffer
	var logs []*eventlog.Log
	f.Log = func(ip uint32) *eventlog.Log {
		logs = append(logs, eventlog.New(eventlog.Config{Out: &out, Node: flow.IPText(ip)}))
		return logs[len(logs)-1]
	}
	f.RestartProcesses()
	f.Run(50 * time.Millisecond)
	c.Request()
	f.Run(time.Second)
	requireAnswered(t, f, c, 2)
	writeLogs(t, logs...)
	lines, err := flowtrace.Read(&out, c.Key.String())
	require.NoError(t, err)
	var history strings.Builder
	require.NoError(t, flowtrace.Write(&history, flowtrace.Order(lines)))
	require.Regexp(t, `(?s)\tprobe\tgiven to the host\t.*reason=all step=5\n.*\tprobe\tbounced\t`, history.String())
	require.Contains(t, history.String(), "\tflow learned from its host\t\tprobed=true searched=true\n")
}

// Guards against two agents that took a flow, of which the log shows only the first.
func TestSecondAgentIsLogged(t *testing.T) {
	var out bytes.Buffer
	log := eventlog.New(eventlog.Config{Out: &out, Node: "entry"})
	e := newLoggingEntry(t, func(uint32, []byte) {}, log)
	k := packettest.Key(1)
	notify := func(kind mesh.Kind, agent int) {
		m := mesh.Message{Kind: kind, Origin: packettest.Address(agent), Flow: k, ConfigVersion: 1, Body: packettest.Request(k, 7, 100)}
		e.Receive(m.Append(nil))
	}
	notify(mesh.KindTaken, 100)
	notify(mesh.KindTaken, 100)
	notify(mesh.KindTaken, 101)
	notify(mesh.KindMissing, 100)
	notify(mesh.KindMissing, 101)
	writeLogs(t, log)
	lines, err := flowtrace.Read(&out, k.String())
	require.NoError(t, err)
	var history strings.Builder
	for _, l := range lines {
		if l.Message != "search" {
			l.Time = time.Time{}
			require.NoError(t, flowtrace.Write(&history, []flowtrace.Line{l}))
		}
	}
	require.Equal(t, "00:00:00.000\tentry\tflow taken by a second agent\t\tagent=10.1.0.101 kept=10.1.0.100\n"+
		"00:00:00.000\tentry\tpackets of the flow go to another agent\t\tagent=10.1.0.101 before=10.1.0.100 why=missing\n", history.String())
}

// Guards against searches for flows without a record that can't be told from the steps that continue a search.
func TestSearchesBegunAreCounted(t *testing.T) {
	directory := metrics.GetOrCreateCounter(`endiveflow_packetentry_searches_begun_total{step="directory"}`)
	all := metrics.GetOrCreateCounter(`endiveflow_packetentry_searches_begun_total{step="all"}`)
	directoryBefore, allBefore := directory.Get(), all.Get()
	e := newEntryWithAgents(t, 4)
	e.FromCaller(packettest.Request(packettest.Key(1), 7, 100))
	require.Equal(t, directoryBefore, directory.Get(), "the entry has a record of the flow")
	e.FromCaller(packettest.Request(packettest.Key(2), 7, 100))
	require.Equal(t, directoryBefore+1, directory.Get())
	returned := mesh.Message{
		Kind: mesh.KindMissing, Origin: packettest.Address(100), Flow: packettest.Key(2), ConfigVersion: 1, Body: packettest.Request(packettest.Key(2), 7, 100),
	}
	e.Receive(returned.Append(nil))
	require.Equal(t, directoryBefore+1, directory.Get(), "the search continues")
	require.Equal(t, allBefore, all.Get())
}
