package event

// Membership events.
const MemberChanged ID = 501

// Health events.
const (
	UpstreamEjected  ID = 701
	UpstreamReturned ID = 702
)

// Rehearsal events.
const (
	RehearsalStarted ID = 801
	RehearsalEnded   ID = 802
)
