package replica

import (
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/lease"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/settings"
)

// Action is a request or a notification from a Replica to its driver.
type Action interface{ action() }

// AppendAction requests one append. AppendDone delivers its result.
type AppendAction struct{ Records [][]byte }

// ReadAction requests one read. ReadDone delivers its result.
type ReadAction struct {
	From uint64
	Max  int
}

// DecidedAction reports the verdict on a record that this replica proposed.
type DecidedAction struct{ Verdict Verdict }

// UndecidedAction reports that no verdict on a proposed record will follow.
type UndecidedAction struct {
	ID record.ID
	// Sent is false only when the record was certainly not appended.
	Sent bool
}

// AppliedAction reports that a record was applied, whether it is valid or void. It
// precedes the actions that report the record's effect.
type AppliedAction struct{ Record infra.Record }

// SettingsAction reports that a settings record was applied, whether it is valid or void.
type SettingsAction struct {
	// Tree is the settings tree in force after the record.
	Tree    *settings.Tree
	Change  record.Settings
	Verdict Verdict
	// At is the log's timestamp of the append.
	At time.Time
}

// LeasesAction reports a valid lease record.
type LeasesAction struct {
	Leases  *lease.Table
	Lease   record.Lease
	Verdict Verdict
}

// StateAction reports that the whole state was restored from a snapshot.
type StateAction struct{ State *State }

// SnapshotAction reports a valid snapshot record.
type SnapshotAction struct {
	Covers uint64
	// Mismatch is set when the snapshot disagrees with this replica's state at the
	// same offset.
	Mismatch bool
	// Own is set when this replica proposed the snapshot.
	Own bool
}

// ReadyAction reports that the replica has become ready. It stays ready from then on.
type ReadyAction struct{}

// LogAction reports that the log stopped answering, or that it answers again.
type LogAction struct {
	Available bool
	Err       error
}

func (AppendAction) action()    {}
func (ReadAction) action()      {}
func (DecidedAction) action()   {}
func (UndecidedAction) action() {}
func (AppliedAction) action()   {}
func (SettingsAction) action()  {}
func (LeasesAction) action()    {}
func (StateAction) action()     {}
func (SnapshotAction) action()  {}
func (ReadyAction) action()     {}
func (LogAction) action()       {}
