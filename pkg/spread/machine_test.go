package spread

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// newMachine returns the machine of one VM in a data centre with the given number of VMs.
func newMachine(vms int) *Machine {
	m := New(Config{Stream: "settings", Self: "vm-0", Address: "vm-0"}, 0, time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
	var peers []Peer
	for i := 1; i < vms; i++ {
		id := fmt.Sprint("vm-", i)
		peers = append(peers, Peer{ID: fleet.VMID(id), Address: id})
	}
	m.SetPeers(peers)
	return m
}

// TestTreeReachesAll guards against a tree that leaves out a VM, reaches one twice, or has a
// parent that does not send to its child.
func TestTreeReachesAll(t *testing.T) {
	is := is.New(t)
	for vms := DirectLimit + 1; vms <= 600; vms++ {
		m := newMachine(vms)
		reached := make(map[string]int)
		for position := range m.peers {
			children := m.children(position)
			is.True(len(children) <= FanOut)
			for _, child := range children {
				reached[child.Address]++
				at := *m
				for i, p := range m.peers {
					if p.Address == child.Address {
						at.position = i
					}
				}
				is.Equal(at.parent(), position)
			}
		}
		is.Equal(len(reached), vms-ReaderCount)
	}
}

// TestDeliveredInOrder guards against records that are delivered out of order, twice or with a
// gap, or that revert the stream, for any order of messages, reads and snapshots.
func TestDeliveredInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(20)
		now := time.Unix(0, 0)
		last := uint64(0)
		check := func(actions []Action) {
			for _, a := range actions {
				d, ok := a.(Deliver)
				if !ok {
					continue
				}
				for _, r := range d.Records {
					if r.Offset != last+1 {
						t.Fatalf("offset %d after %d", r.Offset, last)
					}
					last = r.Offset
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"records": func(t *rapid.T) {
				check(m.Receive(now, &Records{Records: drawRecords(t), Repair: rapid.Bool().Draw(t, "repair")}))
			},
			"read": func(t *rapid.T) {
				after := rapid.Uint64Range(0, 30).Draw(t, "after")
				records := drawRecords(t)
				for i := range records {
					records[i].Offset = after + 1 + uint64(i)
				}
				check(m.ReadDone(now, after, ReadResult{First: 1, Next: 40, Records: records}))
			},
			"snapshot": func(t *rapid.T) {
				covers := rapid.Uint64Range(0, 30).Draw(t, "covers")
				if m.ResumeAfterSnapshot(covers) {
					last = covers
				}
			},
			"tick": func(*rapid.T) {
				now = now.Add(time.Second)
				check(m.Tick(now))
			},
			"": func(t *rapid.T) {
				if m.Applied() != last || m.Highest() < last {
					t.Fatalf("applied %d, highest %d, delivered %d", m.Applied(), m.Highest(), last)
				}
			},
		})
	})
}

// drawRecords draws consecutive records.
func drawRecords(t *rapid.T) []Record {
	first, count := rapid.Uint64Range(1, 30).Draw(t, "first"), rapid.IntRange(1, 5).Draw(t, "count")
	records := make([]Record, count)
	for i := range records {
		offset := first + uint64(i)
		records[i] = Record{Offset: offset, Previous: offset - 1}
	}
	return records
}

// TestSnapshotParts guards against a snapshot that is assembled from parts of different states
// or from parts in the wrong order.
func TestSnapshotParts(t *testing.T) {
	is := is.New(t)
	state := make([]byte, 2*PartSize+1)
	state[PartSize] = 1
	var parts []*Snapshot
	for i := range 3 {
		parts = append(parts, Part("settings", 7, 9, state, i))
	}
	joined, err := Join(parts)
	is.NoErr(err)
	is.Equal(joined, state)
	_, err = Join([]*Snapshot{parts[0], parts[2], parts[1]})
	is.True(errors.Is(err, ErrSnapshotHash))
	other := Part("settings", 8, 9, append(state, 1), 1)
	_, err = Join([]*Snapshot{parts[0], other, parts[2]})
	is.True(errors.Is(err, ErrSnapshotHash))
	_, err = Join(nil)
	is.True(err != nil)
}
