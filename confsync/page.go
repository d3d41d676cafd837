package confsync

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/platform"
)

// pagePrefix starts the keys of the pages of entries.
const pagePrefix = "endiveflow-pages/"

// Page lists the live entries of an availability zone as its writer saw them.
type Page struct {
	Entries []PageEntry `json:"entries"`
}

// PageEntry is one entry of a Page.
type PageEntry struct {
	ID member.ID `json:"id"`
	// Control receives control messages; Peer serves bulk transfers.
	Control netip.AddrPort `json:"control"`
	Peer    netip.AddrPort `json:"peer"`
}

// PageKey returns the store key of a zone's page.
func PageKey(region, zone string) string { return pagePrefix + region + "/" + zone }

// pageState is what an entry knows of its zone's page. Its fields are used by
// the goroutine of runPages only, but for alone.
type pageState struct {
	// read says that the fields below were read from the store.
	read    bool
	version uint64
	value   []byte
	// tried is the time of the last write, refreshed that of the last read.
	tried, refreshed time.Time
	// failures counts failed calls in a row; next is when the next call is due.
	failures int
	next     time.Time
	// alone says that the page was read and names no other entry.
	alone atomic.Bool
}

func (p *pageState) knownAlone() bool { return p.alone.Load() }

// runPages reads the pages of the region once and then keeps the zone's page
// while the entry is the highest-ranked of its zone. An entry that knows no
// other entry keeps reading, because seeds may have changed.
func (s *Sync) runPages(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.DutyInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Before(s.page.next) {
			// The store is away: the calls of the page are paced by Backoff.
		} else if err := s.tendPage(ctx, now); err != nil && ctx.Err() == nil {
			s.page.failures++
			s.page.next = now.Add(s.cfg.Backoff.Pause(s.page.failures))
			s.cfg.Log.Warn("page of the zone not updated", "failures", s.page.failures, "error", err)
		} else {
			s.page.failures = 0
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (s *Sync) tendPage(ctx context.Context, now time.Time) error {
	at := s.standing()
	writer := at.rank == 0 && s.cfg.Self().Alive()
	due := now.Sub(s.page.refreshed) >= s.cfg.RefreshInterval
	if !s.page.read || due && (writer || at.others == 0) {
		if err := s.readPages(ctx, now); err != nil {
			return err
		}
	}
	if !writer || s.settling(at) || now.Sub(s.page.tried) < s.cfg.PageInterval {
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
	s.page.read, s.page.refreshed = true, now
	self := s.cfg.Self()
	alone := true
	var seeds []netip.AddrPort
	for _, o := range l.Objects {
		mine := o.Key == PageKey(s.cfg.Region, s.cfg.Zone)
		if mine && o.Version >= s.page.version {
			s.page.version, s.page.value = o.Version, o.Value
		}
		var page Page
		if err := json.Unmarshal(o.Value, &page); err != nil {
			s.cfg.Log.Error("page of entries is not usable", "key", o.Key, "error", err)
			continue
		}
		for _, e := range page.Entries {
			if e.ID != self.ID && e.Control.IsValid() {
				seeds = append(seeds, e.Control)
				alone = alone && !mine
			}
		}
	}
	s.page.alone.Store(alone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
	return nil
}

// writePage writes the page on the condition of the version read. After a
// conflict or an unclear outcome the page is read again before the next write.
func (s *Sync) writePage(ctx context.Context, now time.Time, value []byte) error {
	s.page.tried = now
	version, err := s.cfg.Client.Put(ctx, PageKey(s.cfg.Region, s.cfg.Zone), value, s.page.version)
	count("page_writes", resultOf(err))
	switch {
	case err == nil:
		s.page.version, s.page.value = version, value
		return nil
	case errors.Is(err, platform.Conflict), errors.Is(err, platform.Unclear):
		s.page.read = false
	}
	return fmt.Errorf("writing the page of the zone: %w", err)
}

// encodePage returns the zone's page as the entry sees it, in a form that is
// the same for the same entries.
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
