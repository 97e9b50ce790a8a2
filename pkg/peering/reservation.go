package peering

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Reservation is the capacity that a VM has reserved at one upstream. It is compact,
// because reservations make up most of the state messages, which are sent ten times a
// second, and traffic between data centres is charged for.
type Reservation struct {
	// Upstream is the HashID of the upstream. In a fleet of 10,000 upstreams the chance that
	// two share a hash is 1 in 100; each is then also charged with the load of the other.
	Upstream uint32
	// KV is the reserved KV cache memory in units of kvUnit tokens x layers.
	KV uint16
	// Requests is the number of requests.
	Requests uint16
	// Tokens is the number of tokens in units of tokenUnit.
	Tokens uint16
}

const (
	// kvUnit is the unit of Reservation.KV in tokens x layers. A generation uses about
	// 7,500 on an engine with 8 layers.
	kvUnit = 1000
	// tokenUnit is the unit of Reservation.Tokens. A generation has about 900 tokens.
	tokenUnit = 100
)

// NewReservation returns a reservation, with its values rounded up to whole units.
func NewReservation(id fleet.UpstreamID, kv, requests, tokens float64) Reservation {
	return Reservation{Upstream: HashID(id), KV: toUnits(kv, kvUnit), Requests: toUnits(requests, 1), Tokens: toUnits(tokens, tokenUnit)}
}

// NewBacklog returns the record that tells how many tokens x layers of prompts an upstream has
// still to read for a VM, and how long the VM's runs have waited there for the prompts of
// others; 0 if they did not. It is a second Reservation with a key of its own, because VMs of the
// former build read only reservations with four fields: they add it up for an upstream that
// they do not know. It is sent only while there is something to tell.
func NewBacklog(id fleet.UpstreamID, unread float64, wait time.Duration) Reservation {
	r := Reservation{Upstream: backlogKey(HashID(id)), KV: toUnits(unread, kvUnit)}
	if wait > 0 { // Requests counts the VMs that tell a wait, and Tokens adds up the waits
		r.Requests, r.Tokens = 1, toUnits(float64(wait), float64(time.Millisecond))
	}
	return r
}

// backlogKey returns the key of the backlog of an upstream with the given hash.
func backlogKey(hash uint32) uint32 { return hash ^ backlogBits }

// backlogBits is an arbitrary pattern that tells the key of a backlog from that of an upstream.
const backlogBits = 0x9e3779b9

func toUnits(v, unit float64) uint16 {
	return uint16(min(math.Ceil(max(v, 0)/unit), math.MaxUint16))
}

// reservationFields is the number of fields of an encoded Reservation.
const reservationFields = 4

// errReservationFields is returned for a reservation with another number of fields.
var errReservationFields = errors.New("reservation has an unexpected number of fields")

// DecodeMsgpack decodes a reservation. Each VM of a large fleet decodes some thousand of them a
// second, for which the reflection of the library takes longer. Like the library, it rejects
// another number of fields.
func (p *Reservation) DecodeMsgpack(d *msgpack.Decoder) error {
	*p = Reservation{}
	n, err := d.DecodeArrayLen()
	if err != nil || n <= 0 {
		return err
	}
	if n != reservationFields {
		return fmt.Errorf("%w: %d", errReservationFields, n)
	}
	var values [reservationFields]uint64
	for i := range values {
		if values[i], err = d.DecodeUint64(); err != nil {
			return err
		}
	}
	p.Upstream, p.KV, p.Requests, p.Tokens = uint32(values[0]), uint16(values[1]), uint16(values[2]), uint16(values[3])
	return nil
}

// Values returns the reserved memory in tokens x layers, the requests and the tokens.
func (p Reservation) Values() (kv, requests, tokens float64) {
	return float64(p.KV) * kvUnit, float64(p.Requests), float64(p.Tokens) * tokenUnit
}

// HashID returns the 32-bit hash by which messages identify an upstream.
func HashID(id fleet.UpstreamID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // hash.Hash never returns an error
	return h.Sum32()
}
