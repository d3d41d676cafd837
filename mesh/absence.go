package mesh

import (
	"encoding/binary"

	"endiveflow.example/endiveflow/flow"
)

// MaxAbsenceKeys is the maximum number of flows of an AbsenceQuery, so that a query fits into a datagram.
const MaxAbsenceKeys = 90

// Sizes of the bodies of queries and answers.
const (
	keyBytes           = 12
	absenceQueryBytes  = 8
	absenceAnswerBytes = 24
)

// AbsenceQuery asks an agent whether its host has flows. It is the body of a message of kind KindAbsenceQuery.
type AbsenceQuery struct {
	// Serial identifies the query among those of all incarnations of the entry.
	Serial uint64
	// Keys are the flows, at least one and at most MaxAbsenceKeys.
	Keys []flow.Key
}

// AbsenceQueryBytes returns the size of the message with a query for a number of flows.
func AbsenceQueryBytes(flows int) int { return headerBytes + absenceQueryBytes + flows*keyBytes }

// Append appends the encoded query to b.
func (q AbsenceQuery) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, q.Serial)
	for _, key := range q.Keys {
		b = binary.BigEndian.AppendUint32(b, key.Caller.IP)
		b = binary.BigEndian.AppendUint16(b, key.Caller.Port)
		b = binary.BigEndian.AppendUint16(b, key.Service.Port)
		b = binary.BigEndian.AppendUint32(b, key.Service.IP)
	}
	return b
}

// DecodeAbsenceQuery decodes the body of a message. It returns ErrInvalidMessage for a body that isn't a query.
func DecodeAbsenceQuery(b []byte) (AbsenceQuery, error) {
	count := (len(b) - absenceQueryBytes) / keyBytes
	if len(b) < absenceQueryBytes || (len(b)-absenceQueryBytes)%keyBytes != 0 || count < 1 || count > MaxAbsenceKeys {
		return AbsenceQuery{}, ErrInvalidMessage
	}
	q := AbsenceQuery{Serial: binary.BigEndian.Uint64(b), Keys: make([]flow.Key, count)}
	b = b[absenceQueryBytes:]
	for i := range q.Keys {
		k := b[i*keyBytes:]
		q.Keys[i] = flow.Key{
			Caller:  flow.Endpoint{IP: binary.BigEndian.Uint32(k), Port: binary.BigEndian.Uint16(k[4:])},
			Service: flow.Endpoint{IP: binary.BigEndian.Uint32(k[8:]), Port: binary.BigEndian.Uint16(k[6:])},
		}
	}
	return q, nil
}

// AbsenceAnswer answers an AbsenceQuery. It is the body of a message of kind KindAbsenceAnswer.
type AbsenceAnswer struct {
	// Serial is that of the query.
	Serial uint64
	// Agent is the start time of the agent process in Unix milliseconds, Host identifies the incarnation of its host.
	Agent int64
	Host  uint64
	// Verdicts are values of flowabsence.Verdict, one for each key of the query, in its order. After decoding they alias
	// the datagram.
	Verdicts []byte
}

// Append appends the encoded answer to b.
func (a AbsenceAnswer) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, a.Serial)
	b = binary.BigEndian.AppendUint64(b, uint64(a.Agent))
	b = binary.BigEndian.AppendUint64(b, a.Host)
	return append(b, a.Verdicts...)
}

// DecodeAbsenceAnswer decodes the body of a message. It returns ErrInvalidMessage for a body that isn't an answer.
func DecodeAbsenceAnswer(b []byte) (AbsenceAnswer, error) {
	if len(b) <= absenceAnswerBytes || len(b) > absenceAnswerBytes+MaxAbsenceKeys {
		return AbsenceAnswer{}, ErrInvalidMessage
	}
	return AbsenceAnswer{
		Serial: binary.BigEndian.Uint64(b), Agent: int64(binary.BigEndian.Uint64(b[8:])), Host: binary.BigEndian.Uint64(b[16:]),
		Verdicts: b[absenceAnswerBytes:],
	}, nil
}
