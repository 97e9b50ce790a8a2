package event

// Health events.
const (
	UpstreamEjected  ID = 701
	UpstreamReturned ID = 702
	UpstreamChanged  ID = 703
	UpstreamSlow     ID = 704
	UpstreamRefusing ID = 705
	UpstreamPaused   ID = 706
	NoticeMalformed  ID = 707
)

// Rehearsal events.
const (
	RehearsalStarted ID = 801
	RehearsalEnded   ID = 802
)
