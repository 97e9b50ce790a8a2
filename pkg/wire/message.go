package wire

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/spread"
)

// Kind is the kind of a frame.
type Kind uint8

// The kinds of frames.
const (
	// kindProof is the kind of the empty frame that ends the handshake.
	kindProof Kind = iota + 1
	// kindKeepalive asks for a kindKeepaliveAck, to detect a silent connection.
	kindKeepalive
	// kindKeepaliveAck answers a kindKeepalive.
	kindKeepaliveAck
	// kindFailure is a response that carries an error text.
	kindFailure
	KindPing
	KindPingReq
	KindAck
	KindSummary
	KindRecords
	KindWant
	KindSnapshotWant
	KindSnapshot
	KindStatus
	KindNotices
	KindExplain
	KindExplanation
	KindQuarantine
	KindPeerState
	KindConfigWant
	KindConfigOffer
	KindCrashEvidence
	KindListing
	KindListWant
	KindListOffer
	KindSizedListOffer
	KindStartOffer
)

// Message is a pointer to one of the types in messageTypes.
type Message any

// Explain asks the VM that received a request for the request's explanation.
type Explain struct {
	Request fleet.RequestID
	Team    fleet.TeamID
}

// Explanation is the response to Explain.
type Explanation struct {
	Found bool
	// JSON is the explanation as GET /v1/requests/{id} returns it.
	JSON []byte
}

// messageTypes maps each kind to the Go type of its message.
var messageTypes = map[Kind]reflect.Type{
	KindPing:          reflect.TypeFor[membership.Ping](),
	KindPingReq:       reflect.TypeFor[membership.PingReq](),
	KindAck:           reflect.TypeFor[membership.Ack](),
	KindSummary:       reflect.TypeFor[membership.Summaries](),
	KindRecords:       reflect.TypeFor[spread.Records](),
	KindWant:          reflect.TypeFor[spread.Want](),
	KindSnapshotWant:  reflect.TypeFor[spread.SnapshotWant](),
	KindSnapshot:      reflect.TypeFor[spread.Snapshot](),
	KindStatus:        reflect.TypeFor[spread.Status](),
	KindNotices:       reflect.TypeFor[spread.Notices](),
	KindExplain:       reflect.TypeFor[Explain](),
	KindExplanation:   reflect.TypeFor[Explanation](),
	KindQuarantine:    reflect.TypeFor[quarantine.Message](),
	KindPeerState:     reflect.TypeFor[peering.State](),
	KindConfigWant:    reflect.TypeFor[peering.ConfigWant](),
	KindConfigOffer:   reflect.TypeFor[peering.ConfigOffer](),
	KindCrashEvidence: reflect.TypeFor[peering.CrashEvidence](),
	KindListing:       reflect.TypeFor[peering.Listing](),
	KindListWant:      reflect.TypeFor[peering.ListWant](),
	KindListOffer:     reflect.TypeFor[peering.ListOffer](),

	KindSizedListOffer: reflect.TypeFor[peering.SizedListOffer](),
	KindStartOffer:     reflect.TypeFor[peering.StartOffer](),
}

var messageKinds = invertMessageTypes(messageTypes)

func invertMessageTypes(types map[Kind]reflect.Type) map[reflect.Type]Kind {
	kinds := make(map[reflect.Type]Kind, len(types))
	for k, t := range types {
		kinds[t] = k
	}
	return kinds
}

// Encode returns a message's kind and payload.
func Encode(m Message) (Kind, []byte, error) {
	t := reflect.TypeOf(m)
	if t == nil || t.Kind() != reflect.Pointer {
		return 0, nil, fmt.Errorf("encode message: %T is not a pointer to a message type", m)
	}
	kind, ok := messageKinds[t.Elem()]
	if !ok {
		return 0, nil, fmt.Errorf("encode message: unknown type %T", m)
	}
	payload, err := marshal(m)
	if err != nil {
		return 0, nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return kind, payload, nil
}

// marshal encodes structs as arrays and integers in their shortest form. A Ping
// is then less than half as long as with field names.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Size returns the number of bytes that a message takes on a connection, with its frame.
func Size(m Message) (int, error) {
	kind, payload, err := Encode(m)
	if err != nil {
		return 0, err
	}
	// The sequence number of a connection that is some hours old takes five bytes.
	f := frame{Kind: kind, Sequence: 1 << 20, Payload: payload, MAC: make([]byte, macSize)}
	body, err := marshal(&f)
	return prefixSize + len(body), err
}

// Decode parses a message's payload. A panic of the decoder is returned as an error.
func Decode(kind Kind, payload []byte) (m Message, err error) {
	defer func() {
		if p := recover(); p != nil {
			m, err = nil, fmt.Errorf("%w: kind %d: %v", ErrMalformedFrame, kind, p)
		}
	}()
	t, ok := messageTypes[kind]
	if !ok {
		return nil, fmt.Errorf("%w: unknown kind %d", ErrMalformedFrame, kind)
	}
	m = reflect.New(t).Interface()
	if err := msgpack.Unmarshal(payload, m); err != nil {
		return nil, fmt.Errorf("%w: %T: %w", ErrMalformedFrame, m, err)
	}
	return m, nil
}
