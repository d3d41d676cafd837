package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/status"
)

const (
	// observedPath is the path at which an entry returns its observations.
	observedPath = "/entry/observed"
	// observedTimeout bounds the request to one entry.
	observedTimeout = 2 * time.Second
	// maxObservedRequests bounds the concurrent requests: a region has 1,400 entries at the target size.
	maxObservedRequests = 32
	// maxObservedBytes bounds the answer of one entry.
	maxObservedBytes = 4 << 20
)

// observation is a configuration digest from a heartbeat.
type observation struct {
	ID     member.ID `cbor:"1,keyasint"`
	Digest uint64    `cbor:"2,keyasint"`
}

// statusCollector builds the status report for operators. Only the observers of a member receive its
// configuration digest, so the collector queries every entry of the region. That costs one message per
// entry for each status request, whereas gossiping the digests would cost every node a message at each
// change.
type statusCollector struct {
	board  *node.Board
	client *http.Client
}

func newStatusCollector(b *node.Board, peers *peer.Client) *statusCollector {
	return &statusCollector{board: b, client: node.HTTPClient(peers, observedTimeout)}
}

// report returns the status of the region.
func (c *statusCollector) report(ctx context.Context) (any, error) {
	records := c.board.Members.Records()
	digests := c.collect(ctx, records)
	for i, r := range records {
		if d, ok := digests[r.ID]; ok {
			records[i].ConfigDigest = d
		}
	}
	return status.Build(c.board.Config, records), nil
}

// observed returns the digests that this entry received directly from members, and its own.
func (c *statusCollector) observed() []observation {
	out := []observation{{ID: c.board.Self.Record().ID, Digest: c.board.Config.Digest()}}
	for _, r := range c.board.Members.Records() {
		if r.ConfigDigest != 0 && r.ID != out[0].ID {
			out = append(out, observation{ID: r.ID, Digest: r.ConfigDigest})
		}
	}
	return out
}

// collect queries all live entries. If one does not answer, the members that it observes keep the digests in
// this entry's own records.
func (c *statusCollector) collect(ctx context.Context, records []member.Record) map[member.ID]uint64 {
	digests := make(map[member.ID]uint64)
	var mu sync.Mutex
	merge := func(list []observation) {
		mu.Lock()
		defer mu.Unlock()
		for _, o := range list {
			digests[o.ID] = o.Digest
		}
	}
	slots := make(chan struct{}, maxObservedRequests)
	var wg sync.WaitGroup
	self := c.board.Self.Record().ID
	for _, r := range records {
		if r.Role != member.RoleEntry || !r.Alive() || r.ID == self {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			list, err := c.fetch(ctx, r.Peer)
			if err != nil {
				c.board.Log.Info("fetching observations from an entry failed", "entry", r.Peer, "error", err)
				return
			}
			merge(list)
		})
	}
	wg.Wait()
	// The observations of this entry are as recent as any answer, and its own digest is exact.
	merge(c.observed())
	return digests
}

func (c *statusCollector) fetch(ctx context.Context, addr netip.AddrPort) ([]observation, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+addr.String()+observedPath, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("creating request: %w", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("sending request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.NotValidf("answer with status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxObservedBytes))
	if err != nil {
		return nil, fmt.Errorf("reading answer: %w", err)
	}
	var list []observation
	if err := cbor.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("decoding answer: %w", err)
	}
	return list, nil
}

// serve answers the request of another entry with the digests that this entry observes.
func (c *statusCollector) serve(w http.ResponseWriter, _ *http.Request) {
	body, err := cbor.Marshal(c.observed())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}
