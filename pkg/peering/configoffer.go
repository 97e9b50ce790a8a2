package peering

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cornelline/cornelline/pkg/storeera"
)

// ConfigWant requests the configuration if it is newer than Version. A VM that has no
// configuration sends the zero Version.
type ConfigWant struct{ Version storeera.Version }

// ConfigOffer answers a ConfigWant.
type ConfigOffer struct {
	// Data is the configuration in force, either in the store's encoding or as CompressConfig
	// returns it. It is empty if the VM has no newer one, or has sent as many copies as its
	// link bears for now.
	Data []byte
	// RevertEra is the RevertEra of the configuration's version.
	RevertEra storeera.Era
}

// maxConfigBytes bounds the size of a configuration. The store's largest record is smaller.
const maxConfigBytes = 4 << 20

// errConfigTooLarge is returned for a compressed configuration of more than maxConfigBytes.
var errConfigTooLarge = errors.New("configuration is too large")

// compressedMark begins a compressed configuration. No configuration in the store's encoding
// begins with it.
const compressedMark = 0x01

// CompressConfig compresses a configuration for other VMs, after compressedMark by DEFLATE. Its
// routes resemble each other, so that a large configuration shrinks to a small part.
func CompressConfig(data []byte) []byte {
	b := bytes.NewBuffer([]byte{compressedMark})
	w, err := flate.NewWriter(b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil { // the level is valid, and a buffer accepts all writes
		panic(err)
	}
	return b.Bytes()
}

// DecompressConfig reverses CompressConfig. It returns data that is not compressed as it is.
func DecompressConfig(data []byte) ([]byte, error) {
	if !IsCompressedConfig(data) {
		return data, nil
	}
	config, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(config) > maxConfigBytes {
		return nil, errConfigTooLarge
	}
	return config, nil
}

// IsCompressedConfig reports whether a configuration is compressed.
func IsCompressedConfig(data []byte) bool { return len(data) > 0 && data[0] == compressedMark }

const (
	// offerLinkShare is the fraction of a VM's link that copies of the configuration for other
	// VMs may use. The rest is for callers, engines and state messages.
	offerLinkShare = 0.5
	// offerBurst is the time for which copies may use that share in advance.
	offerBurst = 100 * time.Millisecond
)

// OfferLimiter limits the copies of the configuration that a VM sends to others. A VM that gets
// none asks the next VM that names the version, and those become more with each copy: the time
// until the last VM has a new version grows with the logarithm of the fleet. Without the limit
// all VMs fetch it from the few that read the store, whose links are then busy for seconds. It
// is not safe for concurrent use.
type OfferLimiter struct {
	bytesPerSecond float64
	available      float64 // bytes; negative after a copy that is larger than what was available
	updatedAt      time.Time
}

// NewOfferLimiter returns a limiter for a VM with a link of the given rate, or one that allows
// all copies if the rate is 0.
func NewOfferLimiter(linkBytesPerSecond float64) *OfferLimiter {
	rate := offerLinkShare * linkBytesPerSecond
	return &OfferLimiter{bytesPerSecond: rate, available: rate * offerBurst.Seconds()}
}

// Allow reports whether a copy of the given size may be sent now, and counts it if so.
func (l *OfferLimiter) Allow(now time.Time, size int) bool {
	if l.bytesPerSecond <= 0 {
		return true
	}
	if !l.updatedAt.IsZero() {
		gained := now.Sub(l.updatedAt).Seconds() * l.bytesPerSecond
		l.available = min(l.available+max(gained, 0), l.bytesPerSecond*offerBurst.Seconds())
	}
	l.updatedAt = now
	if l.available <= 0 {
		return false
	}
	l.available -= float64(size)
	return true
}
