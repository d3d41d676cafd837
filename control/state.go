package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/member"
)

const (
	// StatePath is the path at which StateHandler serves the bulk state.
	StatePath = "/control/state"
	// objectPath is followed by the hash of an object in hexadecimal.
	objectPath = "/control/object/"
	// stateChunkItems is the number of records, summaries or objects in a chunk.
	stateChunkItems = 500
	// maxObjectBytes is the size of the largest object; the store accepts values up to 1 MB.
	maxObjectBytes = 1 << 20
	// maxStateBytes bounds what FetchState reads. 16,400 records and 131,072 tombstones take 4 MB; the rest is
	// for the configuration.
	maxStateBytes = 64 << 20
)

// stateItem is one chunk of the bulk state, which is a sequence of CBOR arrays.
type stateItem struct {
	_       struct{} `cbor:",toarray"`
	Records []wireRecord
	Ended   []wireSummary
	Objects [][]byte
}

// StateHandler serves the bulk state at StatePath, and objects that do not fit in a datagram at objectPath. The
// owner must serve it to authenticated processes only.
func (e *Entry) StateHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatePath, e.serveState)
	mux.HandleFunc("GET "+objectPath+"{hash}", e.serveObject)
	return mux
}

func (e *Entry) serveObject(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	object, ok := e.largeObjects.get(hash)
	if err != nil || !ok {
		http.Error(w, "object is not announced by this entry", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(object)
}

func (e *Entry) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/cbor-seq")
	enc := encMode.NewEncoder(w)
	for _, item := range e.stateItems() {
		if err := enc.Encode(item); err != nil {
			return // The client has disconnected.
		}
	}
}

func (e *Entry) stateItems() []stateItem {
	var items []stateItem
	var records []wireRecord
	var tombstones []wireSummary
	for _, r := range e.cfg.Members.Records() {
		records = append(records, toWire(r))
	}
	for _, s := range e.cfg.Members.Tombstones() {
		tombstones = append(tombstones, toWireSummary(s))
	}
	items = appendChunks(items, e.cfg.ConfigObjects(), func(part [][]byte) stateItem { return stateItem{Objects: part} })
	items = appendChunks(items, records, func(part []wireRecord) stateItem { return stateItem{Records: part} })
	return appendChunks(items, tombstones, func(part []wireSummary) stateItem { return stateItem{Ended: part} })
}

func appendChunks[T any](items []stateItem, all []T, item func([]T) stateItem) []stateItem {
	for len(all) > 0 {
		n := min(len(all), stateChunkItems)
		items = append(items, item(all[:n]))
		all = all[n:]
	}
	return items
}

// FetchState merges the state that another entry serves at url. Chunks read before an error remain applied,
// which is safe because each item is versioned.
func (e *Entry) FetchState(ctx context.Context, client *http.Client, url string) error {
	body, err := get(ctx, client, url)
	if err != nil {
		return fmt.Errorf("fetching state: %w", err)
	}
	defer body.Close()
	limited := &io.LimitedReader{R: body, N: maxStateBytes}
	dec := decMode.NewDecoder(limited)
	for {
		var item stateItem
		err := dec.Decode(&item)
		if errors.Is(err, io.EOF) && limited.N > 0 {
			return nil
		}
		if err != nil {
			return errors.NewNotValid(err, "state from "+url)
		}
		e.applyState(item)
	}
}

// applyState applies the valid items of a chunk. Items that this software version cannot decode must not keep an
// entry from joining.
func (e *Entry) applyState(item stateItem) {
	self := e.cfg.Self().ID
	for i := range item.Records {
		r, err := item.Records[i].record()
		if err != nil {
			countDropped("record")
			continue
		}
		if r.ID != self {
			e.cfg.Members.Merge([]member.Record{r})
		}
	}
	e.cfg.Members.MergeEnded(fromWireSummaries(item.Ended))
	for _, object := range item.Objects {
		if err := e.cfg.ApplyConfig(object); err != nil {
			countDropped("object")
		}
	}
}

func get(ctx context.Context, client *http.Client, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("making request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("requesting %s: %w", url, err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.NotFoundf("%s (status %d)", url, resp.StatusCode)
	}
	return resp.Body, nil
}

// fetchObject fetches an announced object from the process at peer.
func fetchObject(ctx context.Context, client *http.Client, peer netip.AddrPort, hash uint64) ([]byte, error) {
	body, err := get(ctx, client, "https://"+peer.String()+objectPath+strconv.FormatUint(hash, 16))
	if err != nil {
		return nil, fmt.Errorf("fetching object: %w", err)
	}
	defer body.Close()
	object, err := io.ReadAll(io.LimitReader(body, maxObjectBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading object: %w", err)
	}
	if len(object) > maxObjectBytes || hashOf(object) != hash {
		return nil, errors.NotValidf("object %016x of %d bytes from %s", hash, len(object), peer)
	}
	return object, nil
}
