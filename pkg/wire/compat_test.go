package wire

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

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
