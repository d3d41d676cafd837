package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/caller"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/standin"
	"endiveflow.example/endiveflow/status"
)

const (
	// e2eFlows is enough for each agent to have several flows.
	e2eFlows = 24
	// e2eTimeout bounds each wait in the tests.
	e2eTimeout = 20 * time.Second
)

// fleet is the fleet of the examples, run as separate processes.
type fleet struct {
	t      *testing.T
	binary string
	// dir contains the settings of the examples with the addresses replaced.
	dir string
	// prefix replaces the first three bytes of the examples' addresses, so that concurrent tests on one
	// machine do not conflict.
	prefix string
	logs   map[string]*bytes.Buffer
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:      t,
		binary: filepath.Join(t.TempDir(), "endiveflow"),
		dir:    t.TempDir(),
		prefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256)),
		logs:   make(map[string]*bytes.Buffer),
	}
	out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	files, err := filepath.Glob("../../examples/*.yaml")
	require.NoError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		moved := strings.ReplaceAll(string(text), "127.0.0.", f.prefix)
		moved = strings.ReplaceAll(moved, f.prefix+"0/8", "127.0.0.0/8")
		require.NoError(t, os.WriteFile(filepath.Join(f.dir, filepath.Base(file)), []byte(moved), 0o600))
	}
	f.run("standin", "certificate", "--dir", f.dir, "--name", "rota", "--name", "draws")
	return f
}

// startFleet starts all processes of the examples.
func startFleet(t *testing.T) (*fleet, map[string]*exec.Cmd) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts eleven processes")
	}
	t.Parallel()
	f := newFleet(t)
	return f, f.startAll()
}

// run runs a command and waits for its end.
func (f *fleet) run(args ...string) {
	f.t.Helper()
	out, err := exec.Command(f.binary, args...).CombinedOutput()
	require.NoError(f.t, err, string(out))
}

// start starts a process of the examples; it is killed at the end of the test.
func (f *fleet) start(name string, command ...string) *exec.Cmd {
	f.t.Helper()
	log := new(bytes.Buffer)
	f.logs[name] = log
	cmd := exec.Command(f.binary, append(command, "--settings", filepath.Join(f.dir, name+".yaml"))...)
	cmd.Stderr = log
	require.NoError(f.t, cmd.Start())
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", name, tail(log.String()))
		}
	})
	return cmd
}

func tail(text string) string {
	const maxLen = 2000
	return text[max(0, len(text)-maxLen):]
}

// awaitReady waits until a process answers its readiness check with 200.
func (f *fleet) awaitReady(host string) {
	f.t.Helper()
	url := "http://" + f.prefix + host + ":7004/readyz"
	require.Eventually(f.t, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, e2eTimeout, 50*time.Millisecond, "%s is not ready", url)
}

func (f *fleet) startAll() map[string]*exec.Cmd {
	started := make(map[string]*exec.Cmd)
	started["platform"] = f.start("platform", "standin", "platform")
	started["fabric"] = f.start("fabric", "standin", "fabric")
	for _, n := range []string{"entry-1", "entry-2", "entry-3"} {
		started[n] = f.start(n, "entry")
	}
	for _, h := range []string{"rota-1", "rota-2", "draws-1"} {
		started["agent-"+h] = f.start("agent-"+h, "agent")
		started["upstream-"+h] = f.start("upstream-"+h, "standin", "upstream")
	}
	f.run("apply", "-f", filepath.Join(f.dir, "config.yaml"),
		"--platform", "http://"+f.prefix+"2:7400", "--who", "test", "--why", "first configuration")
	for _, host := range []string{"11", "12", "13", "21", "22", "23"} {
		f.awaitReady(host)
	}
	for _, entry := range []string{"11", "12", "13"} {
		f.awaitFullWeight(entry)
	}
	return started
}

// awaitFullWeight waits until an entry reports every upstream at full weight, after its slow start. Before
// that, all flows might open at one of them.
func (f *fleet) awaitFullWeight(entry string) {
	f.t.Helper()
	const upstreams = 3
	require.Eventually(f.t, func() bool {
		resp, err := http.Get("http://" + f.prefix + entry + ":7004" + status.Path)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var report status.Report
		if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
			return false
		}
		ready := 0
		for _, u := range report.Upstreams {
			if u.Weight == member.FullWeight {
				ready++
			}
		}
		return ready == upstreams
	}, e2eTimeout, 50*time.Millisecond, "entry %s does not report all upstreams at full weight", entry)
}

// executed returns how often each request ran, over all upstreams.
func (f *fleet) executed() map[string]int {
	f.t.Helper()
	total := make(map[string]int)
	for _, host := range []string{"21", "22", "23"} {
		resp, err := http.Get("http://" + f.prefix + host + ":8000/executed")
		require.NoError(f.t, err)
		var executed map[string]int
		require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&executed))
		resp.Body.Close()
		for id, n := range executed {
			total[id] += n
		}
	}
	return total
}

// traffic holds the results of the callers of a service.
type traffic struct {
	service  string
	ids      atomic.Int64
	answered atomic.Int64
	mu       sync.Mutex
	// mu guards faults.
	faults []string
}

func (c *traffic) addFault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// runFlow sends requests over one flow until ctx ends. It records broken flows and missing or wrong answers
// as faults.
func (c *traffic) runFlow(ctx context.Context, client *caller.Client) {
	first := client.Conn()
	for ctx.Err() == nil {
		c.request(client)
		time.Sleep(20 * time.Millisecond)
	}
	if client.Conn() != first || first.Err() != nil {
		c.addFault("flow broke: %v", first.Err())
	}
}

func (c *traffic) request(client *caller.Client) {
	n := c.ids.Add(1)
	method := http.MethodGet
	if n%5 == 0 {
		method = http.MethodPost
	}
	id := fmt.Sprintf("%s-%s-%d", c.service, method, n)
	ctx, cancel := context.WithTimeout(context.Background(), e2eTimeout)
	defer cancel()
	answer, err := client.Do(ctx, caller.Request{
		Method: method, Path: "/slots", Header: http.Header{standin.RequestIDHeader: {id}},
	})
	if err != nil {
		c.addFault("request %s: %v", id, err)
		return
	}
	var body standin.UpstreamAnswer
	if err := json.Unmarshal(answer.Body, &body); err != nil || body.ID != id || body.Service != c.service {
		c.addFault("request %s got %q (%v)", id, answer.Body, err)
		return
	}
	c.answered.Add(1)
}

// startTraffic opens flows to a service and returns a function that ends them.
func (f *fleet) startTraffic(service string, port uint16) (*traffic, func()) {
	f.t.Helper()
	pem, err := os.ReadFile(filepath.Join(f.dir, standin.CertificateFile))
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c := &traffic{service: service}
	var flows sync.WaitGroup
	for range e2eFlows {
		client, err := caller.New(caller.Config{
			Address: netip.AddrPortFrom(netip.MustParseAddr(f.prefix+"3"), port),
			TLS:     standin.Certificate{CertPEM: pem}.ClientTLS(service),
		})
		require.NoError(f.t, err)
		f.t.Cleanup(client.Close)
		require.NoError(f.t, client.Connect(context.Background()))
		flows.Go(func() { c.runFlow(ctx, client) })
	}
	return c, func() {
		cancel()
		flows.Wait()
	}
}

// awaitProgress waits until the callers have got more answers, which shows that traffic continues.
func (c *traffic) awaitProgress(t *testing.T) {
	t.Helper()
	const more = 10 * e2eFlows
	from := c.answered.Load()
	require.Eventually(t, func() bool { return c.answered.Load() > from+more }, e2eTimeout, 10*time.Millisecond)
}

// requireGracefulStop stops a process with SIGTERM and checks that it exits without an error.
func requireGracefulStop(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	err := cmd.Wait()
	exit := new(exec.ExitError)
	if errors.As(err, &exit) {
		t.Fatalf("%v ended with %v", cmd.Args[1:2], exit)
	}
}

// Flows and requests must survive the crash of one entry and the graceful stop of another. Runs separate
// processes with the settings of the examples.
func TestSeparateProcesses(t *testing.T) {
	f, processes := startFleet(t)
	rota, endRota := f.startTraffic("rota", 8441)
	draws, endDraws := f.startTraffic("draws", 8442)
	rota.awaitProgress(t)
	draws.awaitProgress(t)

	require.NoError(t, processes["entry-1"].Process.Kill())
	rota.awaitProgress(t)
	f.start("entry-1", "entry")
	f.awaitReady("11")
	requireGracefulStop(t, processes["entry-2"])
	rota.awaitProgress(t)
	draws.awaitProgress(t)

	endRota()
	endDraws()
	require.Empty(t, rota.faults)
	require.Empty(t, draws.faults)
	for id, n := range f.executed() {
		if strings.Contains(id, http.MethodPost) {
			require.Equal(t, 1, n, "request %s", id)
		}
	}
}
