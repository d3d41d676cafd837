package node

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

// Board holds the shared state of a process (the blackboard pattern): its controllers read and write the parts
// of the board and have no references to each other.
type Board struct {
	Config  *config.View
	Members *member.View
	Trail   *audit.Trail
	Self    *Self
	Log     *slog.Logger
	// Stopping is set once the process has begun its planned stop.
	Stopping atomic.Bool
}

// NewBoard returns the board of a process with the given membership record.
func NewBoard(record member.Record, log *slog.Logger) *Board {
	members := member.NewView()
	return &Board{
		Config:  config.NewView(),
		Members: members,
		Trail:   audit.New(audit.Config{Log: log}),
		Self:    NewSelf(record, members, log),
		Log:     log,
	}
}

// Host returns the IP address of the process's VM.
func (b *Board) Host() netip.Addr { return b.Self.Record().Tunnel.Addr() }

// Policy returns the settings of a service that apply on this VM.
func (b *Board) Policy(service string) config.Policy {
	return b.Config.Policy(service, b.Host())
}

// Changes returns a channel that receives a value after changes of the configuration or of the members, until
// ctx ends. Changes in quick succession are coalesced into one value.
func (b *Board) Changes(ctx context.Context) <-chan struct{} {
	out := make(chan struct{}, 1)
	objects := b.Config.Subscribe(ctx)
	members := b.Members.Subscribe(ctx)
	go func() {
		for objects != nil || members != nil {
			var ok bool
			select {
			case _, ok = <-objects:
				if !ok {
					objects = nil
				}
			case _, ok = <-members:
				if !ok {
					members = nil
				}
			}
			if ok {
				notify(out)
			}
		}
	}()
	return out
}

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// LiveEntryTunnels returns the tunnel addresses of the entries that can receive return packets.
func (b *Board) LiveEntryTunnels() []netip.AddrPort {
	entries := b.Members.LiveEntries()
	out := make([]netip.AddrPort, 0, len(entries))
	for _, e := range entries {
		if e.State == member.StateReady && !b.Members.Suspect(e.ID) {
			out = append(out, e.Tunnel)
		}
	}
	return out
}
