package confsync

import (
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/platform"
)

// pagePrefix is the prefix of the store keys of pages.
const pagePrefix = "endiveflow-pages/"

// Page lists the live entries of an availability zone according to the entry that wrote it.
type Page struct {
	Entries []PageEntry `json:"entries"`
}

// PageEntry is an entry listed in a Page.
type PageEntry struct {
	ID member.ID `json:"id"`
	// Control receives control messages; Peer serves bulk transfers.
	Control netip.AddrPort `json:"control"`
	Peer    netip.AddrPort `json:"peer"`
}

// decodePage returns the readable entries of an encoded Page. The error tells which ones aren't.
func decodePage(encoded []byte) ([]PageEntry, error) {
	var page struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(encoded, &page); err != nil {
		return nil, fmt.Errorf("decoding a page: %w", err)
	}
	var entries []PageEntry
	var problems error
	for i, raw := range page.Entries {
		var e PageEntry
		if err := json.Unmarshal(raw, &e); err != nil {
			problems = stderrors.Join(problems, fmt.Errorf("decoding entry %d of a page: %w", i, err))
			continue
		}
		entries = append(entries, e)
	}
	return entries, problems
}

// PageKey returns the store key of a zone's page.
func PageKey(region, zone string) string { return pagePrefix + region + "/" + zone }

// pageState is the state of reading and writing the pages. Its fields are used only by the goroutine of
// runPages, except for soleEntry.
type pageState struct {
	// loaded reports that version and value are those of the zone's page in the store, as last read or written.
	loaded  bool
	version uint64
	value   []byte
	// writtenAt is the time of the last attempt to write the page, readAt that of the last successful read.
	writtenAt, readAt time.Time
	// failures counts consecutive failed calls; nextCallAt is when the next call is due.
	failures   int
	nextCallAt time.Time
	// soleEntry reports that the pages were read and that the zone's page lists no other entry.
	soleEntry atomic.Bool
}

func (p *pageState) isSoleEntry() bool { return p.soleEntry.Load() }

// runPages reads the pages of the region once, and then maintains the zone's page while the entry ranks highest
// in its zone. An entry that knows no other live entry of its zone keeps reading the pages, because the seeds in
// them may have changed.
func (s *Sync) runPages(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.CheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Before(s.page.nextCallAt) {
			// The store is unavailable: calls are paced by Backoff.
		} else if err := s.updatePage(ctx, now); err != nil && ctx.Err() == nil {
			s.page.failures++
			s.page.nextCallAt = now.Add(s.cfg.Backoff.Pause(s.page.failures))
			s.cfg.Log.Warn("cannot update page of zone", "failures", s.page.failures, "error", err)
		} else {
			s.page.failures = 0
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (s *Sync) updatePage(ctx context.Context, now time.Time) error {
	rank := s.zoneRank()
	writer := rank.higher == 0 && s.cfg.Self().Alive()
	due := now.Sub(s.page.readAt) >= s.cfg.RefreshInterval
	if !s.page.loaded || due && (writer || rank.others == 0) {
		if err := s.readPages(ctx, now); err != nil {
			return err
		}
	}
	if !writer || s.isSettling(rank) || now.Sub(s.page.writtenAt) < s.cfg.PageInterval {
		return nil
	}
	value, err := s.encodePage()
	if err != nil || bytes.Equal(value, s.page.value) {
		return err
	}
	return s.writePage(ctx, now, value)
}

// readPages reads the pages of all zones of the region in one call.
func (s *Sync) readPages(ctx context.Context, now time.Time) error {
	l, err := s.cfg.Client.List(ctx, PageKey(s.cfg.Region, ""), platform.Current)
	count("page_reads", resultOf(err))
	if err != nil {
		return fmt.Errorf("reading the pages of the region: %w", err)
	}
	s.page.loaded, s.page.readAt = true, now
	self := s.cfg.Self()
	soleEntry := true
	var seeds []netip.AddrPort
	for _, o := range l.Objects {
		ownZone := o.Key == PageKey(s.cfg.Region, s.cfg.Zone)
		if ownZone && o.Version >= s.page.version {
			s.page.version, s.page.value = o.Version, o.Value
		}
		entries, err := decodePage(o.Value)
		if err != nil {
			s.cfg.Log.Error("page of entries cannot be decoded", "key", o.Key, "error", err)
		}
		for _, e := range entries {
			if e.ID != self.ID && e.Control.IsValid() {
				seeds = append(seeds, e.Control)
				soleEntry = soleEntry && !ownZone
			}
		}
	}
	s.page.soleEntry.Store(soleEntry)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
	return nil
}

// writePage writes the page if its version in the store is still the one read. After a conflict or an unclear
// outcome the page is read again before the next write.
func (s *Sync) writePage(ctx context.Context, now time.Time, value []byte) error {
	s.page.writtenAt = now
	version, err := s.cfg.Client.Put(ctx, PageKey(s.cfg.Region, s.cfg.Zone), value, s.page.version)
	count("page_writes", resultOf(err))
	switch {
	case err == nil:
		s.page.version, s.page.value = version, value
		return nil
	case errors.Is(err, platform.Conflict), errors.Is(err, platform.Unclear):
		s.page.loaded = false
	}
	return fmt.Errorf("writing the page of the zone: %w", err)
}

// encodePage returns the zone's page according to the records of this entry. The encoding is the same for the
// same entries.
func (s *Sync) encodePage() ([]byte, error) {
	self := s.cfg.Self()
	page := Page{Entries: []PageEntry{pageEntry(&self)}}
	for r := range otherEntries(s.cfg.Entries(), s.cfg.Zone, self.ID) {
		page.Entries = append(page.Entries, pageEntry(r))
	}
	slices.SortFunc(page.Entries, func(a, b PageEntry) int { return a.Control.Compare(b.Control) })
	value, err := json.Marshal(page)
	if err != nil {
		return nil, fmt.Errorf("encoding the page of the zone: %w", err)
	}
	return value, nil
}

func pageEntry(r *member.Record) PageEntry {
	return PageEntry{ID: r.ID, Control: r.Control, Peer: r.Peer}
}
