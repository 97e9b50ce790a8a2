package wire

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/storeera"
)

// TestConfigMessagesOfFormerBuild guards against VMs of two builds that cannot exchange the
// configuration while a fleet is upgraded: a message with another number of fields ends the
// connection.
func TestConfigMessagesOfFormerBuild(t *testing.T) {
	is := is.New(t)
	type formerWant struct{ Version storeera.Version }
	type formerOffer struct {
		Data      []byte
		RevertEra storeera.Era
	}
	_, payload, err := Encode(&peering.ConfigWant{Version: storeera.Version{Number: 41}})
	is.NoErr(err)
	var want formerWant
	is.NoErr(msgpack.Unmarshal(payload, &want))
	is.Equal(want.Version.Number, uint64(41))
	_, payload, err = Encode(&peering.ConfigOffer{Data: []byte("x"), RevertEra: 3})
	is.NoErr(err)
	var offer formerOffer
	is.NoErr(msgpack.Unmarshal(payload, &offer))
	is.Equal(offer, formerOffer{Data: []byte("x"), RevertEra: 3})
}

// TestStartOffer guards against a VM that starts and cannot read what another one knows, and against a
// changed answer to VMs of the former build, which read a SizedListOffer.
func TestStartOffer(t *testing.T) {
	is := is.New(t)
	crash := crashcause.Crash{Upstream: notice.Instance{ID: "s", StartMillis: 5}, Runs: []crashcause.Run{{Starting: true, Request: 7, Parts: []crashcause.Part{1}}}}
	sent := &peering.StartOffer{
		Sized: peering.SizedListOffer{FleetSize: 4},
		Crashes: crashcause.History{
			Groups:  []crashcause.PastGroup{{Parts: []crashcause.Part{2}, Crashes: 3, FailedTrials: 1, Ago: time.Minute}},
			Crashes: []crashcause.PastCrash{{Crash: crash, Ago: time.Second}}, Sound: []crashcause.Part{1},
			Cleared: []crashcause.ClearedPart{{Part: 1, Ago: time.Hour}},
		},
		CrashesComplete: true,
	}
	kind, payload, err := Encode(sent)
	is.NoErr(err)
	got, err := Decode(kind, payload)
	is.NoErr(err)
	is.Equal(got, sent)

	type formerSized struct {
		Offer     peering.ListOffer
		FleetSize int
	}
	_, payload, err = Encode(&sent.Sized)
	is.NoErr(err)
	var former formerSized
	is.NoErr(msgpack.Unmarshal(payload, &former))
	is.Equal(former.FleetSize, 4)
}

// TestFeaturesOfPeers guards against a VM of a former build that is sent what it cannot read. Its
// hello message ends with the nonce.
func TestFeaturesOfPeers(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	sessions := make(chan *session, 1)
	go func() {
		s, err := handshake(a, hello{VM: "a"}, testSecret, true)
		is.NoErr(err)
		sessions <- s
	}()
	s, err := handshake(b, hello{VM: "b"}, testSecret, false)
	is.NoErr(err)
	is.True(s.peer.Supports(CompressedConfig))
	is.True((<-sessions).peer.Supports(CompressedConfig))

	former, err := marshal(&hello{Version: protocolVersion, Nonce: make([]byte, nonceSize), VM: "c"})
	is.NoErr(err)
	own, other := net.Pipe()
	go func() { // the handshake itself fails: the other side has no secret
		_ = writeBody(other, former)
		_, _ = readBody(other, maxHelloSize)
		_ = other.Close()
	}()
	s = &session{net: own}
	s.reader.r, s.writer.w = bufio.NewReader(own), bufio.NewWriter(own)
	is.True(s.runHandshake(hello{Version: protocolVersion, Nonce: make([]byte, nonceSize), VM: "b"}, testSecret) != nil)
	is.Equal(string(s.peer.VM), "c")
	is.True(!s.peer.Supports(CompressedConfig))
}
