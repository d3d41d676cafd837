package node

import (
	"fmt"
	"time"

	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/settings"
)

// NewRing returns the key ring of a process.
func NewRing(s settings.Node) (*fleetkey.Ring, error) {
	ring, err := s.Ring()
	if err != nil {
		return nil, fmt.Errorf("reading fleet keys: %w", err)
	}
	return ring, nil
}

// NewPeerClient returns the client for requests to other processes.
func NewPeerClient(s settings.Node, ring *fleetkey.Ring) (*peer.Client, error) {
	client, err := peer.NewClient(peer.ClientConfig{Ring: ring, LocalIP: s.PeerAddress.Addr()})
	if err != nil {
		return nil, fmt.Errorf("creating peer client: %w", err)
	}
	return client, nil
}

// NewRecord returns the membership record of a process that starts now. lastIncarnation is the highest known
// incarnation of the member, 0 if none.
func NewRecord(role member.Role, zone string, sockets Sockets, lastIncarnation member.Incarnation) member.Record {
	return member.Record{
		Role:        role,
		Zone:        zone,
		Tunnel:      AddrOf(sockets.Tunnel),
		Control:     AddrOf(sockets.Control),
		Peer:        AddrOf(sockets.Peer),
		Incarnation: NewIncarnation(time.Now(), lastIncarnation),
		State:       member.StateStarting,
	}
}
