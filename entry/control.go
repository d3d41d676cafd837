package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/fx"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/confsync"
	"endiveflow.example/endiveflow/control"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/platform"
)

// joinInterval is the time between attempts to copy the state of another entry.
const joinInterval = 500 * time.Millisecond

func provideControl(lc fx.Lifecycle, cfg RoleConfig, ring *fleetkey.Ring, sockets node.Sockets, b *node.Board, peers *peer.Client, store *confsync.Sync) (*control.Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StopHook(cancel))
	e, err := control.NewEntry(control.EntryConfig{
		Socket:        sockets.Control,
		Ring:          ring,
		Self:          b.Self.Record,
		Changed:       b.Self.Changed(),
		Refute:        b.Self.Refute,
		Members:       b.Members,
		Seeds:         func() []netip.AddrPort { return slices.Concat(store.Seeds(), cfg.Settings.Seeds) },
		ConfigDigest:  b.Config.Digest,
		ConfigObjects: func() [][]byte { return node.EncodeObjects(b.Log, b.Config.Objects()) },
		ApplyConfig:   node.ApplyEncoded(b.Config),
		ConfigChanged: node.EncodedChanges(ctx, b),
		ObjectsFor: func(tag config.ServiceTag) (uint64, [][]byte) {
			objects := b.Config.ObjectsFor(tag)
			return config.DigestOf(objects), node.EncodeObjects(b.Log, objects)
		},
		Client: node.HTTPClient(peers, peerTimeout),
		MaxSuspect: func(tag config.ServiceTag) float64 {
			name, _, _ := b.Config.Service(tag)
			return b.Config.Policy(name, netip.Addr{}).MaxSuspect
		},
		Trail: b.Trail,
	})
	if err != nil {
		return nil, fmt.Errorf("creating control component: %w", err)
	}
	return e, nil
}

// provideSync returns the component that watches the store. While the store is unavailable, the entry gets
// its configuration from other entries.
func provideSync(cfg RoleConfig, b *node.Board) (*confsync.Sync, error) {
	client, err := platform.New(platform.Config{URL: cfg.Settings.PlatformURL})
	if err != nil {
		return nil, fmt.Errorf("creating store client: %w", err)
	}
	s, err := confsync.New(confsync.Config{
		Client:  client,
		View:    b.Config,
		Region:  cfg.Settings.Region,
		Zone:    cfg.Settings.Zone,
		Self:    b.Self.Record,
		Entries: b.Members.Entries,
		Log:     cfg.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("creating store watch: %w", err)
	}
	return s, nil
}

// join copies the state of another entry, so that a new entry need not wait for the exchange of digests. It
// repeats until it has copied the state of one entry and has a configuration, because the first entry that
// it contacts may be as new as this one.
func (c components) join(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for !c.fetchState(ctx) || c.Board.Config.Version() == 0 {
			if node.Sleep(ctx, joinInterval) != nil {
				return
			}
		}
	}()
	return done
}

func (c components) fetchState(ctx context.Context) bool {
	self := c.Board.Self.Record().ID
	// Draining entries are included, since they still hold the state. When all entries are replaced at once
	// while the store is unavailable, only the draining ones hold the configuration.
	for _, e := range shuffled(c.Board.Members.LiveEntries()) {
		if e.ID == self {
			continue
		}
		url := "https://" + e.Peer.String() + control.StatePath
		err := c.Control.FetchState(ctx, node.HTTPClient(c.PeerClient, peerTimeout), url)
		if err == nil {
			return true
		}
		c.Board.Log.Info("copying state from another entry failed", "entry", e.Peer, "error", err)
	}
	return false
}

// shuffled returns the entries in random order, so that the first requests of many new entries spread over
// the others.
func shuffled(entries []member.Record) []member.Record {
	out := slices.Clone(entries)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
