package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/standin"
	"endiveflow.example/endiveflow/status"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"endiveflow": main})
}

// storeKey is the key of a script's stand-in store in the script's environment.
type storeKey struct{}

// Guards against commands that accept invalid input, or whose reported result differs from what happened in
// the store. Each script has its own store; "store JSON" sets its switches.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			store := standin.NewPlatform(standin.PlatformConfig{})
			server := httptest.NewServer(store.Handler())
			entry := httptest.NewServer(serveAdmin(server.URL))
			env.Defer(server.Close)
			env.Defer(entry.Close)
			env.Values[storeKey{}] = store
			env.Setenv("ENDIVEFLOW_PLATFORM", server.URL)
			env.Setenv("ENDIVEFLOW_ADMIN", entry.URL)
			env.Setenv("ENDIVEFLOW_OPERATOR", "ann")
			env.Setenv("LOOPBACK", randomLoopback())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"store":   setStore,
			"exits":   requireExit,
			"expand":  expandFiles,
			"answers": awaitAnswer,
		},
	})
}

func setStore(ts *testscript.TestScript, _ bool, args []string) {
	var s standin.Switches
	ts.Check(json.Unmarshal([]byte(args[0]), &s))
	ts.Value(storeKey{}).(*standin.Platform).SetSwitches(s)
}

// requireExit runs a command and checks its exit code, as in "exits 2 endiveflow check bad.yaml".
func requireExit(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND [ARG...]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		exit := new(exec.ExitError)
		if !errors.As(err, &exit) {
			ts.Fatalf("running %s: %v", args[1], err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("%s exited with %d instead of %d", strings.Join(args[1:], " "), got, want)
	}
}

// serveAdmin is a stand-in for the admin endpoint of an entry. Below /current, every node has the
// configuration of the store; below /other, a different configuration with the same version number; below
// /ahead, a version that the store does not have. /probed answers 200 once a fabric has requested /readyz.
func serveAdmin(store string) http.HandlerFunc {
	var probed atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/readyz" {
			probed.Store(true)
			return
		}
		if r.URL.Path == "/probed" && probed.Load() {
			return
		}
		base, found := strings.CutSuffix(r.URL.Path, status.Path)
		if !found || base == "" {
			serveEntry(w, r)
			return
		}
		report, err := storedStatus(r.Context(), store)
		switch base {
		case "/current":
		case "/other":
			report.Digest = "other"
		case "/ahead":
			report.Version = 99
		default:
			http.NotFound(w, r)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(report)
	}
}

// storedStatus returns the status of an entry whose region has the configuration of the store.
func storedStatus(ctx context.Context, store string) (status.Report, error) {
	a, err := storeFlags{Platform: store}.reader()
	if err != nil {
		return status.Report{}, err
	}
	objects, err := a.Objects(ctx)
	view := config.NewView()
	for _, o := range objects {
		view.Apply(o)
	}
	report := status.Build(view, nil)
	report.Zones = []status.Zone{{Zone: "okn-a", Nodes: 3, Current: 3, Version: report.Version}}
	return report, err
}

func serveEntry(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/explain":
		serveExplain(w, r)
	case "/metrics":
		_, _ = w.Write([]byte("endiveflow_flowserver_flows_opened_total 9\nendiveflow_flowserver_flows 3\n"))
	case "/audit":
		serveAudit(w)
	case status.Path:
		serveStatus(w)
	default:
		http.NotFound(w, r)
	}
}

func serveAudit(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode([]audit.Event{
		{Time: time.Unix(0, 0), Action: "suspect", Target: "agent 10.0.0.7:7000", Reason: "3 heartbeats missed"},
		{Time: time.Unix(60, 0), Action: "eject", Target: "upstream 10.0.0.7:80", Reason: "4 of 5 requests failed"},
	})
}

func serveStatus(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(status.Report{
		Version: 7,
		Zones: []status.Zone{
			{Zone: "okn-a", Nodes: 3, Current: 3, Version: 7},
			{Zone: "okn-b", Nodes: 2, Current: 1, Behind: []status.Behind{{
				Role: "entry", Address: netip.MustParseAddrPort("10.0.0.3:7001"), State: "starting", Reason: "has no configuration yet",
			}}},
		},
		Upstreams: []status.Upstream{{Service: "rota", Address: netip.MustParseAddrPort("10.0.0.7:7000"), Zone: "okn-a", State: "draining", Slots: 4, Note: "drained by the operator: disk swap"}},
	})
}

func serveExplain(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("service") == "agent" {
		_, _ = w.Write([]byte(`[{"setting":"deadline","value":"5s","source":"Defaults/fleet","version":4}]`))
		return
	}
	if r.URL.Query().Get("service") != "rota" {
		http.Error(w, `{"error":"service \"chess\" not found"}`, http.StatusNotFound)
		return
	}
	_, _ = w.Write([]byte(`{"service":"rota","agents":[{"address":"10.0.0.7:7000","zone":"okn-a","state":"ready","weight":100,"newFlows":true,"reason":"is ready"}],` +
		`"policy":[{"setting":"deadline","value":"5s","source":"Defaults/fleet","version":4}]}`))
}
