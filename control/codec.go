package control

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// Sizes in bytes.
const (
	// maxDatagram keeps a datagram with its headers below the MTU of any path.
	maxDatagram = 1200
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
	// maxBody is the largest encoded body of a message.
	maxBody = maxDatagram - 1 - fleetkey.Overhead
	// addressBytes is the size of the tunnel, control and peer addresses of a record.
	addressBytes = 3 * 6
	// maxZone is the longest name of an availability zone.
	maxZone = 64
	// maxElements bounds every array of a message, including those in the chunks served by StateHandler.
	maxElements = 4096
)

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  4,
		MaxArrayElements: maxElements,
		MaxMapPairs:      16,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// must returns the mode. Modes are built from constants, so an error would occur in every run.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// additionalData is authenticated with a message. Only its first byte is sent.
func additionalData(kind Kind, to netip.AddrPort) []byte {
	addr := to.Addr().Unmap().As4()
	return binary.BigEndian.AppendUint16(append([]byte{byte(kind)}, addr[:]...), to.Port())
}

// seal returns the datagram that carries a message to the process at an address.
func seal(s *fleetkey.Sealer, kind Kind, body any, to netip.AddrPort) ([]byte, error) {
	if !to.Addr().Unmap().Is4() {
		return nil, errors.NotValidf("control address %s without IPv4", to)
	}
	plain, err := encMode.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", kind, err)
	}
	return s.Seal([]byte{byte(kind)}, plain, additionalData(kind, to)), nil
}

// open authenticates and decrypts a datagram that was sent to this process.
func open(s *fleetkey.Sealer, data []byte, from, self netip.AddrPort) (datagram, error) {
	if len(data) < 1+fleetkey.Overhead || len(data) > maxDatagram {
		return datagram{}, errors.NotValidf("control datagram of %d bytes", len(data))
	}
	kind := Kind(data[0])
	if kind == 0 || kind >= kindEnd {
		return datagram{}, errors.NotValidf("control message kind %d", kind)
	}
	body, err := s.Open(nil, data[1:], additionalData(kind, self))
	if err != nil {
		return datagram{}, fmt.Errorf("opening %s: %w", kind, err)
	}
	nonce := data[2 : 2+fleetkey.NonceBytes]
	seq := sequence{prefix: binary.BigEndian.Uint32(nonce), counter: binary.BigEndian.Uint64(nonce[4:])}
	return datagram{kind: kind, from: from, seq: seq, body: body}, nil
}

// decode decodes the body of a message.
func decode[T any](d datagram) (T, error) {
	var body T
	if err := decMode.Unmarshal(d.body, &body); err != nil {
		return body, errors.NewNotValid(err, "body of "+d.kind.String())
	}
	return body, nil
}

func toWire(r member.Record) wireRecord {
	addresses := make([]byte, 0, addressBytes)
	for _, a := range []netip.AddrPort{r.Tunnel, r.Control, r.Peer} {
		addresses = appendAddress(addresses, a)
	}
	return wireRecord{
		Role: r.Role, Zone: r.Zone, Service: r.Service, Addresses: addresses, Incarnation: r.Incarnation,
		Version: r.Version, State: r.State, Slots: r.Slots, Weight: r.Weight,
	}
}

func appendAddress(dst []byte, a netip.AddrPort) []byte {
	var addr [4]byte
	if a.Addr().Unmap().Is4() {
		addr = a.Addr().Unmap().As4()
	}
	return binary.BigEndian.AppendUint16(append(dst, addr[:]...), a.Port())
}

func parseAddress(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:6]))
}

// record returns the record, or an error of kind errors.NotValid.
func (w wireRecord) record() (member.Record, error) {
	if len(w.Addresses) != addressBytes || len(w.Zone) > maxZone {
		return member.Record{}, errors.NotValidf("record with %d bytes of addresses and a zone of %d bytes",
			len(w.Addresses), len(w.Zone))
	}
	if w.Role != member.RoleEntry && w.Role != member.RoleAgent {
		return member.Record{}, errors.NotValidf("record of role %d", w.Role)
	}
	if w.State < member.StateStarting || w.State > member.StateDead || w.Incarnation == 0 {
		return member.Record{}, errors.NotValidf("record in state %d of incarnation %d", w.State, w.Incarnation)
	}
	if w.Weight > member.FullWeight || (w.Role == member.RoleEntry) != (w.Service == 0) {
		return member.Record{}, errors.NotValidf("record of role %s with weight %d and service %d", w.Role, w.Weight, w.Service)
	}
	control := parseAddress(w.Addresses[6:])
	return member.Record{
		ID: member.IDOf(w.Role, control), Role: w.Role, Zone: w.Zone, Service: w.Service,
		Tunnel: parseAddress(w.Addresses), Control: control, Peer: parseAddress(w.Addresses[12:]),
		Incarnation: w.Incarnation, Version: w.Version, State: w.State, Slots: w.Slots, Weight: w.Weight,
	}, nil
}

// fromWire returns the valid records and the number of invalid ones.
func fromWire(wires []wireRecord) (records []member.Record, invalid int) {
	for _, w := range wires {
		r, err := w.record()
		if err != nil {
			invalid++
			continue
		}
		records = append(records, r)
	}
	return records, invalid
}

func toWireSummary(s member.Summary) wireSummary {
	return wireSummary{ID: s.ID, Incarnation: s.Incarnation, Version: s.Version, State: s.State}
}

func (w wireSummary) summary() member.Summary {
	return member.Summary{ID: w.ID, Incarnation: w.Incarnation, Version: w.Version, State: w.State}
}

func fromWireSummaries(wires []wireSummary) []member.Summary {
	out := make([]member.Summary, 0, len(wires))
	for _, w := range wires {
		if w.Incarnation != 0 && w.State >= member.StateStarting && w.State <= member.StateDead {
			out = append(out, w.summary())
		}
	}
	return out
}
