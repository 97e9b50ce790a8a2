// Package wire implements the internal protocol between entry VMs:
// length-prefixed msgpack frames over TCP with an authenticated handshake, one
// connection per peer, bounded send queues, and request/response calls.
package wire

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameSize is the largest size of a frame in bytes, without its length prefix.
	MaxFrameSize = 1 << 20
	// macSize is the length of the truncated HMAC-SHA256 in bytes. RFC 2104
	// allows truncation to half of the hash's length.
	macSize = 16
	// prefixSize is the length of the frame's length prefix in bytes.
	prefixSize = 4
)

// Errors of frames and handshakes. Any of them ends the connection.
var (
	// ErrFrameTooLarge is returned for a frame larger than its limit, which is
	// MaxFrameSize after the handshake.
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	// ErrMalformedFrame is returned for a frame that is not valid msgpack.
	ErrMalformedFrame = errors.New("malformed frame")
	// ErrAuthentication is returned when a MAC does not match: the peer has
	// another fleet secret or the frame was altered.
	ErrAuthentication = errors.New("frame authentication failed: wrong fleet secret or altered frame")
	// ErrSequence is returned for an authentic frame with an unexpected sequence
	// number: a frame was replayed, dropped or reordered.
	ErrSequence = errors.New("frame out of sequence: replayed or missing frame")
	// ErrVersion is returned when the peer speaks another protocol version.
	ErrVersion = errors.New("peer speaks another protocol version")
)

// frame is one message on a connection. MAC covers all other fields.
type frame struct {
	Kind     Kind
	Sequence uint64
	// Call matches a response to its request; 0 for a message that expects no response.
	Call     uint64
	Response bool
	Payload  []byte
	MAC      []byte
}

// computeMAC returns the frame's MAC.
func (f *frame) computeMAC(mac hash.Hash) []byte {
	var head [18]byte
	head[0] = byte(f.Kind)
	if f.Response {
		head[1] = 1
	}
	binary.BigEndian.PutUint64(head[2:], f.Sequence)
	binary.BigEndian.PutUint64(head[10:], f.Call)
	mac.Reset()
	mac.Write(head[:])
	mac.Write(f.Payload)
	return mac.Sum(nil)[:macSize]
}

// frameWriter writes frames with their sequence number and MAC.
type frameWriter struct {
	w        *bufio.Writer
	mac      hash.Hash
	sequence uint64
}

// write adds one frame to the buffer and returns the frame's encoded size in bytes.
func (w *frameWriter) write(f frame) (int, error) {
	w.sequence++
	f.Sequence = w.sequence
	f.MAC = f.computeMAC(w.mac)
	body, err := marshal(&f)
	if err != nil {
		return 0, fmt.Errorf("encode frame: %w", err)
	}
	return prefixSize + len(body), writeBody(w.w, body)
}

// frameReader reads frames and checks their MAC and sequence number.
type frameReader struct {
	r        *bufio.Reader
	mac      hash.Hash
	sequence uint64
}

// read returns the next frame and its encoded size in bytes.
func (r *frameReader) read() (frame, int, error) {
	body, err := readBody(r.r, MaxFrameSize)
	if err != nil {
		return frame{}, 0, err
	}
	f, err := decodeFrame(body)
	if err != nil {
		return frame{}, 0, err
	}
	if !hmac.Equal(f.MAC, f.computeMAC(r.mac)) {
		return frame{}, 0, ErrAuthentication
	}
	if f.Sequence != r.sequence+1 {
		return frame{}, 0, fmt.Errorf("%w: got %d, want %d", ErrSequence, f.Sequence, r.sequence+1)
	}
	r.sequence = f.Sequence
	return f, prefixSize + len(body), nil
}

// decodeFrame parses a frame's body.
func decodeFrame(body []byte) (frame, error) {
	var f frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return frame{}, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	return f, nil
}

// writeBody writes a length prefix and a body.
func writeBody(w io.Writer, body []byte) error {
	if len(body) > MaxFrameSize {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, len(body))
	}
	var prefix [prefixSize]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(body)))
	if _, err := w.Write(prefix[:]); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// readBody reads a length prefix and a body of at most limit bytes.
func readBody(r io.Reader, limit uint32) ([]byte, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > limit {
		return nil, fmt.Errorf("%w: %d bytes announced, limit %d", ErrFrameTooLarge, n, limit)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// newMAC returns the HMAC for one direction of a connection. Each direction has
// its own key, derived from the connection's key.
func newMAC(key []byte, direction string) hash.Hash {
	sub := hmac.New(sha256.New, key)
	sub.Write([]byte(direction))
	return hmac.New(sha256.New, sub.Sum(nil))
}
