package wire

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/peering"
)

// countedMessage counts how often it is encoded.
type countedMessage struct{ encoded int }

func (m *countedMessage) EncodeMsgpack(e *msgpack.Encoder) error {
	m.encoded++
	return e.EncodeInt(1)
}

// TestBroadcastEncodesOnce guards against processor time that grows with the square of the
// fleet: each VM sends its state to all others several times a second.
func TestBroadcastEncodesOnce(t *testing.T) {
	is := is.New(t)
	const kind = Kind(200)
	messageKinds[reflect.TypeFor[countedMessage]()] = kind
	defer delete(messageKinds, reflect.TypeFor[countedMessage]())
	n := &pipeNet{listeners: map[string]*pipeListener{}}
	a := New(n.listen("a"), Config{Secret: testSecret, Dial: n.dial})
	defer a.Close()
	var addresses []string
	for i := range 117 {
		addresses = append(addresses, fmt.Sprint("b", i))
	}
	m := &countedMessage{}
	is.NoErr(a.Broadcast(addresses, m))
	is.Equal(m.encoded, 1)
}

func BenchmarkEncodeState(b *testing.B) {
	s := &peering.State{VM: "front-ost-a-1", Started: 1785000000000, Sequence: 10000, FencingToken: 30 << 20, ConfigVersion: 40}
	for i := range 60 {
		s.Reservations = append(s.Reservations, peering.NewReservation(fleet.UpstreamID(fmt.Sprint(i)), 300e3, 20, 18e3))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Encode(s); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeState(b *testing.B) {
	s := &peering.State{VM: "front-ost-a-1", Started: 1785000000000, Sequence: 10000, FencingToken: 30 << 20, ConfigVersion: 40}
	for i := range 60 {
		s.Reservations = append(s.Reservations, peering.NewReservation(fleet.UpstreamID(fmt.Sprint(i)), 300e3, 20, 18e3))
	}
	kind, payload, err := Encode(s)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(kind, payload); err != nil {
			b.Fatal(err)
		}
	}
}
