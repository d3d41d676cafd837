package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/ledger"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/peer"
)

const (
	ledgerPath    = "/agent/ledger"
	successorPath = "/agent/successor"
	// maxLedgerBytes bounds a received ledger; its default bound is 16 MB.
	maxLedgerBytes = 64 << 20
	// minRecordBytes is below the encoded size of a record, which has a sequence, a time and a hash.
	minRecordBytes = 16
	// maxNoticeBytes bounds a successor notice, whose size is about 60 bytes.
	maxNoticeBytes = 1 << 10
	// maxSuccessors bounds the number of stored successors; the oldest is dropped
	// first, and requests with its keys then have the outcome unknown.
	maxSuccessors = 1024
)

// ledgerTransfer is the message that transfers the ledger of a stopping agent to its successor.
type ledgerTransfer struct {
	Home        netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Ledger      ledger.Export  `cbor:"3,keyasint"`
}

// successorNotice is the message that informs the peers of a stopping agent which agent answers requests with
// its keys from then on.
type successorNotice struct {
	Home        netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Successor   netip.AddrPort `cbor:"3,keyasint"`
}

// successors stores which agents answer requests with the keys of agents that have stopped.
type successors struct {
	// mu guards the fields below.
	mu     sync.Mutex
	byHome map[dispatch.Identity]netip.AddrPort
	// order holds the keys of byHome, oldest first.
	order []dispatch.Identity
}

func newSuccessors() *successors {
	return &successors{byHome: make(map[dispatch.Identity]netip.AddrPort)}
}

func (s *successors) get(k dispatch.Key) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, ok := s.byHome[dispatch.Identity{Peer: k.Home, Incarnation: k.Incarnation}]
	return addr, ok
}

func (s *successors) put(home dispatch.Identity, successor netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.byHome[home]; !ok {
		s.order = append(s.order, home)
	}
	s.byHome[home] = successor
	if len(s.order) > maxSuccessors {
		delete(s.byHome, s.order[0])
		s.order = s.order[1:]
	}
}

// handover transfers the ledger of a stopping agent to one successor. It needs no
// lease: the agent stops running requests with its keys before the
// transfer, and the successor never runs them.
type handover struct {
	board      *node.Board
	service    string
	handler    *dispatch.Handler
	client     *http.Client
	successors *successors
}

func newHandover(cfg RoleConfig, b *node.Board, h *dispatch.Handler, peers *peer.Client, s *successors) *handover {
	return &handover{
		board:      b,
		service:    cfg.Settings.Service,
		handler:    h,
		client:     node.HTTPClient(peers, peerTimeout),
		successors: s,
	}
}

// send seals the ledger, transfers it to the first ready peer that accepts it,
// and notifies the other peers. If it is unclear whether a peer has accepted it, repeated requests
// with these keys may have the outcome unknown, but none runs twice.
func (h *handover) send(ctx context.Context) error {
	self, export := h.handler.ExportLedger()
	if len(export.Records) == 0 {
		return nil
	}
	body, err := cbor.Marshal(ledgerTransfer{Home: self.Peer, Incarnation: self.Incarnation, Ledger: export})
	if err != nil {
		return fmt.Errorf("encoding ledger: %w", err)
	}
	peers := peersOf(h.board, config.TagOf(h.service))
	for _, p := range peers {
		if p.Draining {
			continue
		}
		if err := h.post(ctx, p.Addr, ledgerPath, body); err != nil {
			h.board.Log.Warn("peer did not accept the ledger", "peer", p.Addr, "error", err)
			continue
		}
		h.board.Trail.Record(audit.Event{
			Action: "hand-over", Target: "ledger " + self.Peer.String(),
			Reason: "planned stop; successor is " + p.Addr.String(),
		})
		return h.notify(ctx, peers, successorNotice{Home: self.Peer, Incarnation: self.Incarnation, Successor: p.Addr})
	}
	return errors.NotFoundf("peer that accepts the ledger of %d records", len(export.Records))
}

// notify sends the successor notice to all peers but the successor.
func (h *handover) notify(ctx context.Context, peers []dispatch.PeerInfo, n successorNotice) error {
	body, err := cbor.Marshal(n)
	if err != nil {
		return fmt.Errorf("encoding successor notice: %w", err)
	}
	var wg sync.WaitGroup
	for _, p := range peers {
		if p.Addr == n.Successor {
			continue
		}
		wg.Go(func() {
			if err := h.post(ctx, p.Addr, successorPath, body); err != nil {
				h.board.Log.Warn("peer did not accept the successor notice", "peer", p.Addr, "error", err)
			}
		})
	}
	wg.Wait()
	return nil
}

func (h *handover) post(ctx context.Context, addr netip.AddrPort, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("making request: %w", err)
	}
	setService(req, h.service)
	resp, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("posting %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.NotValidf("status %d in the answer to %s", resp.StatusCode, path)
	}
	return nil
}

func (h *handover) receiveLedger(w http.ResponseWriter, r *http.Request) {
	var t ledgerTransfer
	if !decodeBody(w, r, maxLedgerBytes, &t) {
		return
	}
	if !t.Home.IsValid() {
		http.Error(w, "ledger without home", http.StatusBadRequest)
		return
	}
	home := dispatch.Identity{Peer: t.Home, Incarnation: t.Incarnation}
	if err := h.handler.ImportLedger(home, t.Ledger); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *handover) receiveSuccessor(w http.ResponseWriter, r *http.Request) {
	var n successorNotice
	if !decodeBody(w, r, maxNoticeBytes, &n) {
		return
	}
	if !n.Home.IsValid() || !n.Successor.IsValid() {
		http.Error(w, "successor notice without home or successor", http.StatusBadRequest)
		return
	}
	h.successors.put(dispatch.Identity{Peer: n.Home, Incarnation: n.Incarnation}, n.Successor)
	w.WriteHeader(http.StatusNoContent)
}

// transferDecoder accepts as many records as fit into maxLedgerBytes. The library's default limit of
// 131,072 elements is less than a ledger of 64 MB may hold.
var transferDecoder = mustDecoder(cbor.DecOptions{MaxArrayElements: maxLedgerBytes / minRecordBytes})

func mustDecoder(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic("agent: decoder options: " + err.Error())
	}
	return mode
}

// decodeBody reads and decodes the body of a request. On an error it answers the request and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, "reading body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	if err := transferDecoder.Unmarshal(body, into); err != nil {
		http.Error(w, "decoding body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
