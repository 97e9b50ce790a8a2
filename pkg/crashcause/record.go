package crashcause

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// recordFormat is the first byte of an encoded record. It changes with the encoding.
const recordFormat = 1

// ErrFormat is returned for a record of another build or another writer.
var ErrFormat = errors.New("record of crash causes is not in a known format")

// storedGroup is what a record holds of a group. It has no time: clocks of VMs differ.
type storedGroup struct {
	Parts        []Part
	Crashes      int
	FailedTrials int
}

// EncodeGroups returns a record that holds groups, for VMs that start when no other one is left.
func EncodeGroups(groups []Group) ([]byte, error) {
	list := make([]storedGroup, 0, len(groups))
	for _, g := range groups {
		list = append(list, storedGroup{Parts: g.Parts, Crashes: g.Crashes, FailedTrials: g.FailedTrials})
	}
	data, err := msgpack.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode crash causes: %w", err)
	}
	return append([]byte{recordFormat}, data...), nil
}

// DecodeGroups returns the groups in a record, without their times.
func DecodeGroups(record []byte) ([]Group, error) {
	if len(record) == 0 || record[0] != recordFormat {
		return nil, ErrFormat
	}
	d := msgpack.NewDecoder(bytes.NewReader(record[1:]))
	count, err := d.DecodeArrayLen()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	var groups []Group
	for range min(count, maxGroups) {
		var s storedGroup
		if err := d.Decode(&s); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrFormat, err)
		}
		if len(s.Parts) > 0 {
			groups = append(groups, Group{Parts: s.Parts, Crashes: max(s.Crashes, 0), FailedTrials: max(s.FailedTrials, 0)})
		}
	}
	return groups, nil
}
