package routing

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/flow"
)

// ContentType is the media type of an encoded table: CBOR, compressed by gzip. VMs are slow: decoding it takes a small part of
// the time of the operator's format, and their links are narrow.
const ContentType = "application/vnd.endiveflow.table"

// maxEncodedBytes bounds an encoded table before compression.
const maxEncodedBytes = 16 << 20

// encodedTable is a table as it is encoded. The JSON names are for people.
type encodedTable struct {
	Version       uint64 `cbor:"1,keyasint" json:"version"`
	IdleTimeoutMs int64  `cbor:"2,keyasint" json:"idleTimeoutMs"`
	// Services are the names that the routes' shares refer to by index.
	Services []string       `cbor:"3,keyasint" json:"services"`
	Routes   []encodedRoute `cbor:"4,keyasint" json:"routes"`
	// KnowsWarmup is set by processes that know the field WarmupRates, which is ordered by service.
	KnowsWarmup bool                `cbor:"5,keyasint,omitempty" json:"-"`
	WarmupRates []encodedWarmupRate `cbor:"6,keyasint,omitempty" json:"warmupRates,omitempty"`
}

// encodedRoute is encoded as an array, which takes less time to decode than a map.
type encodedRoute struct {
	_               struct{}       `cbor:",toarray"`
	Name            string         `json:"name"`
	IP              uint32         `json:"ip"`
	Port            uint16         `json:"port"`
	Kind            Kind           `json:"kind"`
	TimeoutMs       int64          `json:"timeoutMs"`
	TargetLatencyMs int64          `json:"targetLatencyMs"`
	Priority        int            `json:"priority"`
	Shares          []encodedShare `json:"shares"`
}

type encodedShare struct {
	_       struct{} `cbor:",toarray"`
	Service int      `json:"service"`
	Weight  int      `json:"weight"`
}

type encodedWarmupRate struct {
	_         struct{} `cbor:",toarray"`
	Service   string   `json:"service"`
	PerSecond uint16   `json:"perSecond"`
}

// encodable returns the table in the form that is encoded, with the routes in order of their addresses.
func (t *Table) encodable() encodedTable {
	e := encodedTable{Version: t.Version, IdleTimeoutMs: t.IdleTimeout.Milliseconds(), Routes: make([]encodedRoute, 0, len(t.routes))}
	for _, r := range t.routes {
		for _, s := range r.Shares {
			e.Services = append(e.Services, s.Service)
		}
	}
	slices.Sort(e.Services)
	e.Services = slices.Compact(e.Services)
	for _, r := range t.routes {
		encoded := encodedRoute{
			Name: r.Name, IP: r.Endpoint.IP, Port: r.Endpoint.Port, Kind: r.Kind, Priority: r.Priority,
			TimeoutMs: r.Timeout.Milliseconds(), TargetLatencyMs: r.TargetLatency.Milliseconds(),
		}
		for _, s := range r.Shares {
			i, _ := slices.BinarySearch(e.Services, s.Service)
			encoded.Shares = append(encoded.Shares, encodedShare{Service: i, Weight: s.Weight})
		}
		e.Routes = append(e.Routes, encoded)
	}
	slices.SortFunc(e.Routes, func(a, b encodedRoute) int { return cmp.Or(cmp.Compare(a.IP, b.IP), cmp.Compare(a.Port, b.Port)) })
	e.KnowsWarmup = t.warmupRates != nil
	for service, rate := range t.warmupRates {
		e.WarmupRates = append(e.WarmupRates, encodedWarmupRate{Service: service, PerSecond: rate})
	}
	slices.SortFunc(e.WarmupRates, func(a, b encodedWarmupRate) int { return cmp.Compare(a.Service, b.Service) })
	return e
}

// table returns the table that was encoded.
func (e encodedTable) table() (*Table, error) {
	if e.Version == 0 {
		return nil, errors.NotValidf("table without version")
	}
	routes := make([]Route, 0, len(e.Routes))
	for _, r := range e.Routes {
		route := Route{
			Name: r.Name, Endpoint: flow.Endpoint{IP: r.IP, Port: r.Port}, Kind: r.Kind, Priority: r.Priority, Shares: make([]Share, 0, len(r.Shares)),
			Timeout: Milliseconds(r.TimeoutMs), TargetLatency: Milliseconds(r.TargetLatencyMs),
		}
		for _, s := range r.Shares {
			if s.Service < 0 || s.Service >= len(e.Services) {
				return nil, errors.NotValidf("service %d of route %q, expected below %d:", s.Service, r.Name, len(e.Services))
			}
			route.Shares = append(route.Shares, Share{Service: e.Services[s.Service], Weight: s.Weight})
		}
		if len(route.Shares) == 0 {
			return nil, errors.NotValidf("route %q without service", r.Name)
		}
		routes = append(routes, route)
	}
	t := NewTable(e.Version, Milliseconds(e.IdleTimeoutMs), routes)
	if !e.KnowsWarmup {
		return t, nil
	}
	rates := make(map[string]uint16, len(e.WarmupRates))
	for _, r := range e.WarmupRates {
		rates[r.Service] = r.PerSecond
	}
	return t.WithWarmupRates(rates), nil
}

// JSON returns the table in a form for people.
func (t *Table) JSON() ([]byte, error) {
	b, err := json.Marshal(t.encodable())
	if err != nil {
		return nil, fmt.Errorf("encoding table %d: %w", t.Version, err)
	}
	return b, nil
}

// Encode returns the encoded table.
func (t *Table) Encode() ([]byte, error) {
	plain, err := cbor.Marshal(t.encodable())
	if err != nil {
		return nil, fmt.Errorf("encoding table %d: %w", t.Version, err)
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compressing table %d: %w", t.Version, err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compressing table %d: %w", t.Version, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compressing table %d: %w", t.Version, err)
	}
	return b.Bytes(), nil
}

// Decode returns the table of its encoded form. A malformed one gives an error of kind errors.NotValid.
func Decode(encoded []byte) (*Table, error) {
	r, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.WithType(fmt.Errorf("decompressing a table: %w", err), errors.NotValid)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxEncodedBytes+1))
	if err != nil {
		return nil, errors.WithType(fmt.Errorf("decompressing a table: %w", err), errors.NotValid)
	}
	if len(plain) > maxEncodedBytes {
		return nil, errors.NotValidf("table of more than %d bytes", maxEncodedBytes)
	}
	var e encodedTable
	if err := cbor.Unmarshal(plain, &e); err != nil {
		return nil, errors.WithType(fmt.Errorf("decoding a table: %w", err), errors.NotValid)
	}
	return e.table()
}
