package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/upstream"
)

// peerTimeout is the timeout of a bulk transfer between processes, such as that of a ledger.
const peerTimeout = 10 * time.Second

func providePeerServer(cfg RoleConfig, ring *fleetkey.Ring, sockets node.Sockets, h *dispatch.Handler, ho *handover) (*peer.Server, error) {
	server, err := peer.NewServer(peer.ServerConfig{
		Ring:    ring,
		LocalIP: cfg.Settings.PeerAddress.Addr(),
		Socket:  sockets.Peer,
		Handler: peerHandler(cfg.Settings.Service, h, ho),
	})
	if err != nil {
		return nil, fmt.Errorf("making peer server: %w", err)
	}
	return server, nil
}

func provideAnnouncements(cfg RoleConfig, b *node.Board) *upstream.Announcements {
	return upstream.NewAnnouncements(upstream.AnnouncementsConfig{Service: cfg.Settings.Service, Host: b.Host()})
}

func provideUpstream(announced *upstream.Announcements) (*upstream.Client, error) {
	client, err := upstream.New(upstream.Config{
		Address: func() netip.AddrPort { return announced.Current().Address },
	})
	if err != nil {
		return nil, fmt.Errorf("making upstream client: %w", err)
	}
	return client, nil
}

func provideHandler(cfg RoleConfig, ring *fleetkey.Ring, b *node.Board, client *upstream.Client,
	announced *upstream.Announcements, peers *peer.Client, successors *successors,
) (*dispatch.Handler, error) {
	keys, err := flowid.NewKeyCodec(flowid.Config{Ring: ring})
	if err != nil {
		return nil, fmt.Errorf("making key codec: %w", err)
	}
	tag := config.TagOf(cfg.Settings.Service)
	self := b.Self.Record()
	return dispatch.New(dispatch.Config{
		Self: dispatch.Identity{Peer: self.Peer, Incarnation: uint64(self.Incarnation)},
		Upstream: func(r *http.Request) (*http.Response, error) {
			return sendToUpstream(client, b.Policy(cfg.Settings.Service).SilenceAfter, r)
		},
		Peer: func(ctx context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
			return sendToPeer(ctx, peers, cfg.Settings.Service, addr, r)
		},
		Peers:     func() []dispatch.PeerInfo { return peersOf(b, tag) },
		Successor: successors.get,
		Policy:    func() config.Policy { return dispatchPolicy(b, cfg.Settings.Service) },
		Service: func() config.Service {
			service, _ := b.Config.ServiceNamed(cfg.Settings.Service)
			return service
		},
		IssueKey:    func(k dispatch.Key) string { return keys.Issue(requestKey(tag, k)) },
		ParseKey:    func(text string) (dispatch.Key, error) { return parseKey(keys, tag, text) },
		AcceptsWork: func() bool { return acceptsWork(b, cfg.Settings.Service, announced.Current().State) },
		Trail:       b.Trail,
	}), nil
}

// dispatchPolicy returns the settings for the handler. The outlier detector of the handler treats a slow start
// of 0 as unset and would use its default of 10 s, so 0 is replaced by the shortest duration.
func dispatchPolicy(b *node.Board, service string) config.Policy {
	policy := b.Policy(service)
	policy.SlowStart = max(policy.SlowStart, 1)
	return policy
}

// acceptsWork reports whether the local upstream accepts new requests.
func acceptsWork(b *node.Board, service string, state upstream.State) bool {
	return state == upstream.StateReady && !b.Stopping.Load() && !b.Policy(service).Drain
}

func sendToUpstream(client *upstream.Client, silenceAfter time.Duration, r *http.Request) (*http.Response, error) {
	a := dispatch.AttemptFromContext(r.Context())
	ctx := upstream.WithOptions(r.Context(), upstream.Options{Repeatable: a.Repeatable, Long: a.Long, SilenceAfter: silenceAfter})
	resp, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return nil, attemptError("sending request to upstream", err, upstream.ErrNotSent)
	}
	return resp, nil
}

func sendToPeer(
	ctx context.Context, peers *peer.Client, service string, addr netip.AddrPort, r *http.Request,
) (*http.Response, error) {
	setService(r, service)
	resp, err := peers.Do(ctx, addr, r)
	if err != nil {
		return nil, attemptError("sending request to peer", err, peer.ErrNotSent)
	}
	return resp, nil
}

// attemptError wraps an error, as a dispatch.NotSentError if it is notSent, that is, if no byte was sent.
func attemptError(what string, err, notSent error) error {
	wrapped := fmt.Errorf("%s: %w", what, err)
	if errors.Is(err, notSent) {
		return &dispatch.NotSentError{Err: wrapped}
	}
	return wrapped
}

// peersOf returns the other live agents of the service.
func peersOf(b *node.Board, tag config.ServiceTag) []dispatch.PeerInfo {
	self := b.Self.Record().ID
	var out []dispatch.PeerInfo
	for _, r := range b.Members.AgentsOfService(tag) {
		if r.ID == self || !r.Alive() {
			continue
		}
		out = append(out, dispatch.PeerInfo{Addr: r.Peer, Slots: int(r.Slots), Draining: r.State != member.StateReady})
	}
	return out
}

func requestKey(tag config.ServiceTag, k dispatch.Key) flowid.RequestKey {
	return flowid.RequestKey{
		Home:        k.Home,
		Service:     tag,
		Incarnation: member.Incarnation(k.Incarnation),
		Sequence:    k.Sequence,
		Issued:      k.Issued,
	}
}

// errOtherService is the error of a key that was issued for another service.
var errOtherService = errors.New("key of another service")

func parseKey(keys *flowid.KeyCodec, tag config.ServiceTag, text string) (dispatch.Key, error) {
	k, err := keys.Parse(text)
	if err != nil {
		return dispatch.Key{}, fmt.Errorf("parsing request key: %w", err)
	}
	if k.Service != tag {
		return dispatch.Key{}, errOtherService
	}
	return dispatch.Key{Home: k.Home, Incarnation: uint64(k.Incarnation), Sequence: k.Sequence, Issued: k.Issued}, nil
}
