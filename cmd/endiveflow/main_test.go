package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"endiveflow.example/endiveflow/standin"
	"endiveflow.example/endiveflow/status"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"endiveflow": main})
}

// storeKey finds the stand-in store of a script.
type storeKey struct{}

// Guards against commands that accept bad input, or report success or failure
// other than what happened in the store. Each script has its own store; "store
// JSON" sets its switches.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			store := standin.NewPlatform(standin.PlatformConfig{})
			server := httptest.NewServer(store.Handler())
			entry := httptest.NewServer(http.HandlerFunc(serveStatus))
			env.Defer(server.Close)
			env.Defer(entry.Close)
			env.Values[storeKey{}] = store
			env.Setenv("ENDIVEFLOW_PLATFORM", server.URL)
			env.Setenv("ENDIVEFLOW_ADMIN", entry.URL)
			env.Setenv("ENDIVEFLOW_OPERATOR", "ann")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"store": setStore},
	})
}

func setStore(ts *testscript.TestScript, _ bool, args []string) {
	var s standin.Switches
	ts.Check(json.Unmarshal([]byte(args[0]), &s))
	ts.Value(storeKey{}).(*standin.Platform).Set(s)
}

// serveStatus stands for the admin endpoint of an entry.
func serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/explain" {
		serveExplain(w, r)
		return
	}
	if r.URL.Path != status.Path {
		http.NotFound(w, r)
		return
	}
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
	if r.URL.Query().Get("service") != "rota" {
		http.Error(w, `service "chess" not found`, http.StatusNotFound)
		return
	}
	_, _ = w.Write([]byte(`{"service":"rota"}`))
}
