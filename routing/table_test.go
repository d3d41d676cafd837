package routing_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/routing"
)

// Guards against a process that returns to an older configuration.
func TestHolderIsMonotone(t *testing.T) {
	var h routing.Holder
	versions := rand.New(rand.NewPCG(1, 2)).Perm(200)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			last := uint64(0)
			for _, v := range versions[i*50 : i*50+50] {
				h.StoreIfNewer(routing.NewTable(uint64(v+1), 0, nil))
				version := h.Version()
				if version < last || version < uint64(v+1) {
					t.Errorf("version %d after %d", version, last)
				}
				last = version
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 200, h.Version())
	require.False(t, h.StoreIfNewer(routing.NewTable(200, 0, nil)))
}

// Guards against a split route that moves a flow between services or ignores the weights.
func TestSharesOfRoute(t *testing.T) {
	r := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	count := map[string]int{}
	for i := range 10000 {
		key := flow.Key{Caller: flow.Endpoint{IP: uint32(i), Port: uint16(i * 7)}, Service: flow.Endpoint{IP: 9, Port: 443}}
		s := r.Service(key)
		require.Equal(t, s, r.Service(key))
		count[s]++
	}
	require.InDelta(t, 9000, count["a"], 200)
	require.InDelta(t, 1000, count["b"], 200)
	require.Zero(t, count["c"])
}

// Guards against processes that stay without the limits of warm-ups after an upgrade, as a process of the former version passed
// the table on, and against tables of one version that replace each other without end.
func TestTableWithWarmupRatesReplacesOneWithout(t *testing.T) {
	var h routing.Holder
	plain := routing.NewTable(7, 0, nil)
	limited := plain.WithWarmupRates(map[string]uint16{"rota": 12})
	require.True(t, h.StoreIfNewer(plain))
	require.Zero(t, h.Current().WarmupRate("rota"))
	require.True(t, h.StoreIfNewer(limited))
	require.False(t, h.StoreIfNewer(plain))
	require.False(t, h.StoreIfNewer(plain.WithWarmupRates(nil)))
	require.EqualValues(t, 12, h.Current().WarmupRate("rota"))
}

// Guards against a route record that is taken for complete although it lacks a route, or a service of one.
func TestCovers(t *testing.T) {
	at := func(port uint16) flow.Endpoint { return flow.Endpoint{IP: 1, Port: port} }
	tableOf := func(services ...[]string) *routing.Table {
		var routes []routing.Route
		for n, names := range services {
			r := routing.Route{Endpoint: at(uint16(n))}
			for _, name := range names {
				r.Shares = append(r.Shares, routing.Share{Service: name, Weight: 1})
			}
			routes = append(routes, r)
		}
		return routing.NewTable(1, 0, routes)
	}
	var none *routing.Table
	table := tableOf([]string{"a", "b"}, []string{"c"})
	for name, c := range map[string]struct {
		other *routing.Table
		want  bool
	}{
		"the same":        {tableOf([]string{"b", "a"}, []string{"c"}), true},
		"fewer services":  {tableOf([]string{"b"}), true},
		"another service": {tableOf([]string{"a", "c"}), false},
		"another route":   {tableOf([]string{"a"}, []string{"c"}, []string{"c"}), false},
		"no table":        {none, true},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, table.Covers(c.other)) })
	}
	require.False(t, none.Covers(table))
}
