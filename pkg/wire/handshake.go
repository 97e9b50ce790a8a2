package wire

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// protocolVersion must grow with every incompatible change of frames or messages.
	protocolVersion = 1
	// nonceSize is the length of a handshake nonce in bytes.
	nonceSize = 32
	// maxHelloSize is the largest size of a hello message in bytes. It bounds the
	// memory that an unauthenticated peer can make this side allocate.
	maxHelloSize = 1 << 10
	// handshakeTimeout is the timeout of the whole handshake, so that a peer that
	// sends nothing cannot keep a connection open.
	handshakeTimeout = 2 * time.Second
	// maxHandshakes bounds the connections of unknown peers. Each takes a descriptor for up to
	// handshakeTimeout.
	maxHandshakes = 256
)

// hello is the first message that each side sends.
type hello struct {
	Version int
	// Nonce consists of nonceSize random bytes and, after them, the sender's Feature set, which
	// former builds neither send nor read.
	Nonce []byte
	VM    fleet.VMID
	// Address is where the sender accepts connections.
	Address string
	// Instance is a random number that is new for each transport, so that a peer
	// recognises a restarted process.
	Instance uint64
}

// Feature is a set of optional abilities that a peer states in its hello message. VMs of two
// builds can thus work together while a fleet is upgraded.
type Feature uint8

// CompressedConfig: the peer reads compressed configurations.
const CompressedConfig Feature = 1

// SizedLists: the peer reads lists of upstreams with the size of the fleet.
const SizedLists Feature = 2

// CrashHistories is the ability to read peering.StartOffer.
const CrashHistories Feature = 4

// ownFeatures are the abilities of this build.
const ownFeatures = CompressedConfig | SizedLists | CrashHistories

// Peer identifies the other side of a connection.
type Peer struct {
	VM fleet.VMID
	// Address is where the peer accepts connections. Send and Call take it as the address.
	Address  string
	features Feature
	instance uint64
}

// Supports reports whether the peer has an ability.
func (p Peer) Supports(f Feature) bool { return p.features&f == f }

// session is an authenticated connection.
type session struct {
	net  net.Conn
	peer Peer
	// dialled is set on the side that opened the connection.
	dialled bool
	reader  frameReader
	writer  frameWriter
}

// handshake authenticates a new connection. Both sides send a hello message with
// a nonce. The connection's key is the HMAC of both hello messages with the fleet
// secret. Each side proves that it has the key before any message is accepted.
func handshake(conn net.Conn, own hello, secret []byte, dialled bool) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	s := &session{net: conn, dialled: dialled}
	s.reader.r = bufio.NewReaderSize(conn, bufferSize)
	s.writer.w = bufio.NewWriterSize(conn, bufferSize)
	own.Version = protocolVersion
	own.Nonce = make([]byte, nonceSize, nonceSize+1)
	_, _ = rand.Read(own.Nonce) // crypto/rand.Read never returns an error since Go 1.24
	own.Nonce = append(own.Nonce, byte(ownFeatures))
	if err := s.runHandshake(own, secret); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return s, conn.SetDeadline(time.Time{})
}

// runHandshake sends and receives the handshake's messages. The dialling side sends first.
func (s *session) runHandshake(own hello, secret []byte) error {
	ownBody, err := marshal(&own)
	if err != nil {
		return err
	}
	if s.dialled {
		if err := s.sendBody(ownBody); err != nil {
			return err
		}
	}
	peerBody, err := readBody(s.reader.r, maxHelloSize)
	if err != nil {
		return err
	}
	var peer hello
	if err := msgpack.Unmarshal(peerBody, &peer); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if peer.Version != protocolVersion {
		return fmt.Errorf("%w: %d, want %d", ErrVersion, peer.Version, protocolVersion)
	}
	s.peer = Peer{VM: peer.VM, Address: peer.Address, instance: peer.Instance}
	if len(peer.Nonce) > nonceSize {
		s.peer.features = Feature(peer.Nonce[nonceSize])
	}
	if s.dialled {
		s.deriveKeys(secret, ownBody, peerBody)
		return s.exchangeProofs()
	}
	if err := s.sendBody(ownBody); err != nil {
		return err
	}
	s.deriveKeys(secret, peerBody, ownBody)
	return s.exchangeProofs()
}

// deriveKeys sets up the MACs of both directions from both hello messages.
func (s *session) deriveKeys(secret, dialler, acceptor []byte) {
	key := hmac.New(sha256.New, secret)
	key.Write(dialler)
	key.Write(acceptor)
	sum := key.Sum(nil)
	toAcceptor, toDialler := newMAC(sum, "to acceptor"), newMAC(sum, "to dialler")
	if s.dialled {
		s.writer.mac, s.reader.mac = toAcceptor, toDialler
		return
	}
	s.writer.mac, s.reader.mac = toDialler, toAcceptor
}

// exchangeProofs exchanges one authenticated frame in each direction. The dialling
// side sends first, so that an acceptor reveals no MAC to an unauthenticated peer.
func (s *session) exchangeProofs() error {
	if s.dialled {
		if err := s.sendProof(); err != nil {
			return err
		}
	}
	if _, _, err := s.reader.read(); err != nil {
		return err
	}
	if s.dialled {
		return nil
	}
	return s.sendProof()
}

// sendProof sends an empty authenticated frame.
func (s *session) sendProof() error {
	if _, err := s.writer.write(frame{Kind: kindProof}); err != nil {
		return err
	}
	return s.writer.w.Flush()
}

// sendBody sends a hello message, which carries no MAC.
func (s *session) sendBody(body []byte) error {
	if err := writeBody(s.writer.w, body); err != nil {
		return err
	}
	return s.writer.w.Flush()
}
