package agent

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/ledger"
	"endiveflow.example/endiveflow/member"
)

// Guards against a planned stop that loses saved answers, or does not inform the other
// peers of the successor, so that a repeated request has the outcome unknown or runs again.
func TestSuccessorAnswersRepeatedRequests(t *testing.T) {
	f, a := newFleet(t, testService, testService, testService)
	key, unused := a[0].book(t), a[0].newKey(t)
	require.NoError(t, a[0].stop(t))
	delete(f.agents, a[0].addr())
	f.fault = reachableOnly(f, nil)
	for _, peer := range a[1:] {
		requireBooked(t, peer.post(key))
		resp := peer.post(unused)
		require.NotEqual(t, "answered", resp.Header.Get(header.Outcome))
	}
	requireRuns(t, 1, a...)
}

// Guards against a stopping agent that runs requests with its keys after it has handed over its ledger.
func TestNoRunAfterLedgerHandover(t *testing.T) {
	_, a := newFleet(t, testService, testService)
	a[0].book(t)
	unused := a[0].newKey(t)
	require.NoError(t, a[0].stop(t))
	require.NotEqual(t, http.StatusCreated, a[0].post(unused).StatusCode)
	require.Equal(t, http.StatusServiceUnavailable, a[0].post("").StatusCode)
	requireRuns(t, 1, a...)
}

// Guards against a hand-over that stops at the first peer that does not accept the
// ledger: a peer that is unreachable, refuses it, or serves another service because its
// address was reused.
func TestHandoverSkipsPeers(t *testing.T) {
	for name, answer := range map[string]func() (*http.Response, error){
		"unreachable": func() (*http.Response, error) { return nil, errNoAnswer },
		"refuses":     func() (*http.Response, error) { return status(http.StatusBadRequest), nil },
		"ignores":     func() (*http.Response, error) { return status(http.StatusOK), nil },
	} {
		t.Run(name, func(t *testing.T) {
			f, a := newFleet(t, testService, testService, testService)
			key := a[0].book(t)
			var once sync.Once
			var failing netip.AddrPort
			f.fault = func(to netip.AddrPort, r *http.Request, serve func() *http.Response) (*http.Response, error) {
				if r.URL.Path == ledgerPath {
					once.Do(func() { failing = to })
				}
				if to == failing {
					return answer()
				}
				return serve(), nil
			}
			require.NoError(t, a[0].stop(t))
			f.fault = reachableOnly(f, nil)
			delete(f.agents, a[0].addr())
			for _, peer := range a[1:] {
				if peer.addr() != failing {
					requireBooked(t, peer.post(key))
				}
			}
			requireRuns(t, 1, a...)
		})
	}
}

// Guards against choosing a draining peer as successor, which would stop soon after.
func TestHandoverNeedsReadyPeer(t *testing.T) {
	_, a := newFleet(t, testService, testService)
	a[0].book(t)
	a[1].Self.SetState(member.StateDraining)
	a[0].Members.Merge([]member.Record{a[1].Self.Record()})
	require.ErrorIs(t, a[0].stop(t), errors.NotFound)
}

// Guards against a second run when the successor has accepted the ledger but its answer was
// lost: no agent has a record of the successor, and neither agent may run the request.
func TestUnclearHandoverStartsNoRun(t *testing.T) {
	f, a := newFleet(t, testService, testService, testService)
	key, unused := a[0].book(t), a[0].newKey(t)
	f.fault = func(_ netip.AddrPort, r *http.Request, serve func() *http.Response) (*http.Response, error) {
		resp := serve()
		if r.URL.Path == ledgerPath {
			return nil, errNoAnswer
		}
		return resp, nil
	}
	require.ErrorIs(t, a[0].stop(t), errors.NotFound)
	requireBooked(t, a[0].post(key))
	require.NotEqual(t, http.StatusCreated, a[1].post(unused).StatusCode)
	delete(f.agents, a[0].addr())
	f.fault = reachableOnly(f, nil)
	for _, peer := range a[1:] {
		requireBooked(t, peer.post(key))
		require.NotEqual(t, http.StatusCreated, peer.post(unused).StatusCode)
	}
	requireRuns(t, 1, a...)
}

// Guards against a second run when the home of a key no longer exists and no agent has its ledger.
func TestLostLedgerHasUnknownOutcome(t *testing.T) {
	f, a := newFleet(t, testService, testService)
	key := a[0].book(t)
	delete(f.agents, a[0].addr())
	f.fault = reachableOnly(f, nil)
	requireUnknown(t, a[1].post(key))
	requireRuns(t, 1, a...)
}

// Guards against a second run, and against an answer that a request was not run, after agents joined or were replaced since
// the hand-over: an agent that joined later has no record of the successor, and a successor that stops as well hands over its
// own ledger only. The outcome may be unknown then.
func TestNoSecondRunAfterMembershipChanges(t *testing.T) {
	for name, change := range map[string]func(*testing.T, *fleet, []*testAgent) *testAgent{
		"an agent joined after the hand-over": func(t *testing.T, f *fleet, a []*testAgent) *testAgent {
			require.NoError(t, a[0].stop(t))
			delete(f.agents, a[0].addr())
			joined := f.newAgent(t, 9, testService)
			f.agents[joined.addr()] = joined
			for _, other := range a[1:] {
				joined.Members.Merge([]member.Record{other.Self.Record()})
			}
			return joined
		},
		"the successor was replaced": func(t *testing.T, f *fleet, a []*testAgent) *testAgent {
			require.NoError(t, a[0].stop(t))
			delete(f.agents, a[0].addr())
			home := dispatch.Key{Home: a[0].addr(), Incarnation: uint64(a[0].Self.Record().Incarnation)}
			for i, other := range a[1:] {
				if _, ok := other.handover.successors.get(home); !ok {
					require.NoError(t, other.stop(t))
					delete(f.agents, other.addr())
					return a[2-i]
				}
			}
			require.Fail(t, "no successor")
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, a := newFleet(t, testService, testService, testService)
			key, unused := a[0].book(t), a[0].newKey(t)
			f.fault = reachableOnly(f, nil)
			asked := change(t, f, a)
			for _, k := range []string{key, unused} {
				outcome := asked.post(k).Header.Get(header.Outcome)
				require.NotEqual(t, "not-run", outcome, "no agent can know that")
			}
			requireRuns(t, 1, append(a, asked)...)
		})
	}
}

// Guards against malformed or oversized transfers that change the stored successors or crash the process.
func TestMalformedTransfers(t *testing.T) {
	_, a := newFleet(t, testService, testService)
	home := a[0].addr()
	for name, c := range map[string]struct {
		path string
		body any
	}{
		"ledger not CBOR":        {ledgerPath, cbor.RawMessage{0xff}},
		"ledger truncated":       {ledgerPath, cbor.RawMessage{0xa3, 0x01}},
		"ledger without home":    {ledgerPath, ledgerTransfer{Incarnation: 1, Ledger: ledger.Export{Marks: []uint64{0}}}},
		"ledger without marks":   {ledgerPath, ledgerTransfer{Home: home, Incarnation: 1}},
		"ledger lost records":    {ledgerPath, ledgerTransfer{Home: home, Incarnation: 1, Ledger: ledger.Export{Marks: []uint64{0}, Count: 2}}},
		"notice not CBOR":        {successorPath, cbor.RawMessage{0x61}},
		"notice without home":    {successorPath, successorNotice{Incarnation: 1, Successor: home}},
		"notice without address": {successorPath, successorNotice{Home: home, Incarnation: 1}},
		"notice too large":       {successorPath, map[int]any{1: home, 2: 1, 3: home, 4: make([]byte, maxNoticeBytes)}},
	} {
		t.Run(name, func(t *testing.T) {
			resp := a[1].transfer(t, c.path, c.body)
			require.Equal(t, http.StatusBadRequest, resp.StatusCode)
			_, known := a[1].handover.successors.get(dispatch.Key{Home: home, Incarnation: 1})
			require.False(t, known)
		})
	}
}

// Guards against a full ledger that no peer can decode: the library's default
// limit of 131,072 elements is less than the setting ledgerBytes allows.
func TestLargeLedgerIsAccepted(t *testing.T) {
	_, a := newFleet(t, testService)
	const records = 140_000
	export := ledger.Export{Marks: []uint64{0}, Records: make([]ledger.ExportedRecord, records), Count: records}
	for i := range export.Records {
		export.Records[i].Sequence = uint64(i + 1)
	}
	resp := a[0].transfer(t, ledgerPath, ledgerTransfer{Home: netip.MustParseAddrPort("10.0.0.9:7002"), Incarnation: 1, Ledger: export})
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

// Guards against unbounded memory for the successors of stopped agents, and
// against dropping the newest one.
func TestSuccessorsAreBounded(t *testing.T) {
	s := newSuccessors()
	addr := netip.MustParseAddrPort("10.0.0.9:7002")
	for i := range uint64(maxSuccessors + 1) {
		s.put(dispatch.Identity{Peer: addr, Incarnation: i}, addr)
	}
	require.Len(t, s.byHome, maxSuccessors)
	require.Len(t, s.order, maxSuccessors)
	_, oldest := s.get(dispatch.Key{Home: addr})
	_, newest := s.get(dispatch.Key{Home: addr, Incarnation: maxSuccessors})
	require.False(t, oldest)
	require.True(t, newest)
}

// transfer sends a request with the encoded body to the agent as a peer of the same service.
func (a *testAgent) transfer(t *testing.T, path string, body any) *http.Response {
	raw, ok := body.(cbor.RawMessage)
	if !ok {
		var err error
		raw, err = cbor.Marshal(body)
		require.NoError(t, err)
	}
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(raw))
	setService(r, testService)
	return serveOn(a.peerHandler, r)
}

func status(code int) *http.Response {
	return &http.Response{StatusCode: code, Header: http.Header{}, Body: http.NoBody}
}

// reachableOnly returns a fault function with which calls to agents of the fleet return err and calls to
// others fail.
func reachableOnly(f *fleet, err error) func(netip.AddrPort, *http.Request, func() *http.Response) (*http.Response, error) {
	return func(to netip.AddrPort, _ *http.Request, serve func() *http.Response) (*http.Response, error) {
		if f.agents[to] == nil {
			return nil, errors.Annotate(errNoAnswer, to.String())
		}
		return serve(), err
	}
}
