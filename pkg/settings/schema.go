package settings

import (
	"math"
	"time"
)

// Kind is the type of a setting.
type Kind string

// The kinds of settings.
const (
	KindDuration  Kind = "duration"
	KindBytes     Kind = "bytes"
	KindInteger   Kind = "integer"
	KindNumber    Kind = "number"
	KindShare     Kind = "share"
	KindBool      Kind = "boolean"
	KindText      Kind = "text"
	KindChoice    Kind = "choice"
	KindAddress   Kind = "address"
	KindPath      Kind = "path"
	KindTimeOfDay Kind = "time of day"
	KindRank      Kind = "rank"
	KindNames     Kind = "list of names"
	KindHashes    Kind = "list of SHA-256 hashes"
)

// Definition is one row of the table of settings.
type Definition struct {
	// Name is the dotted path within a branch's JSON object; "*" stands for any name.
	Name string
	Kind Kind
	// Levels are the levels whose branches may set it.
	Levels []Level
	// Default is the value in force where no branch sets it, as JSON; empty for
	// a setting that the branch itself must or may give.
	Default string
	// Min and Max bound numbers, both included; durations in nanoseconds.
	Min, Max float64
	// Required is set when every branch of the levels must give it.
	Required bool
	// Choices are the values of a KindChoice.
	Choices []string
	Doc     string
}

// Sets of levels.
var (
	places    = []Level{LevelFleet, LevelRegion, LevelDataCentre}
	rootOnly  = []Level{LevelFleet}
	dcOnly    = []Level{LevelDataCentre}
	rankOnly  = []Level{LevelRank}
	modelOnly = []Level{LevelModel}
	routeOnly = []Level{LevelRoute}
	upOnly    = []Level{LevelUpstream}
	teamOnly  = []Level{LevelTeam}
)

// with returns places and more levels.
func with(more ...Level) []Level { return append(append([]Level(nil), places...), more...) }

const (
	ms   = float64(time.Millisecond)
	sec  = float64(time.Second)
	mins = float64(time.Minute)
	hour = float64(time.Hour)
	// maxBytes keeps sizes within what JSON numbers carry exactly.
	maxBytes = float64(1 << 53)
	noLimit  = math.MaxInt32
)

// Defaults is the table of all settings. docs/SETTINGS.md is generated from it.
var Defaults = []Definition{
	{Name: "limits.body_bytes", Kind: KindBytes, Levels: with(LevelRank, LevelModel, LevelRoute, LevelTeam, LevelTeamRank, LevelTeamModel), Default: "1048576", Min: 1, Max: 1 << 30, Doc: "largest request body"},
	{Name: "limits.queue", Kind: KindInteger, Levels: with(LevelRank), Default: "1000", Min: 1, Max: 1e6, Doc: "requests that may wait in one VM's queue of a rank"},
	{Name: "limits.max_tokens", Kind: KindInteger, Levels: with(LevelRank, LevelModel, LevelTeam, LevelTeamRank, LevelTeamModel), Default: "4096", Min: 1, Max: 1e6, Doc: "most tokens that one request may generate"},
	{Name: "address.valid_for", Kind: KindDuration, Levels: places, Default: `"30s"`, Min: sec, Max: 10 * mins, Doc: "how long a caller may cache the answer of `GET /v1/address`"},
	{Name: "drain.max", Kind: KindDuration, Levels: places, Default: `"10m"`, Min: sec, Max: 24 * hour, Doc: "longest drain before a planned stop; not shorter than address.valid_for"},
	{Name: "claims.window", Kind: KindDuration, Levels: rootOnly, Default: `"6h"`, Min: mins, Max: 7 * 24 * hour, Doc: "age up to which an idempotency key is accepted; shorter than log.retention"},
	{Name: "claims.batch_interval", Kind: KindDuration, Levels: places, Default: `"5ms"`, Min: ms, Max: 10 * sec, Doc: "least time between the starts of two appends of one VM to a stream"},
	{Name: "claims.batch_records", Kind: KindInteger, Levels: places, Default: "256", Min: 1, Max: 10000, Doc: "most records in one append"},
	{Name: "log.retention", Kind: KindDuration, Levels: rootOnly, Default: `"24h"`, Min: mins, Max: 365 * 24 * hour, Doc: "how long the platform's log keeps a record; a snapshot is written every third of it"},
	{Name: "log.poll", Kind: KindDuration, Levels: places, Default: `"250ms"`, Min: ms, Max: mins, Doc: "time between two reads of an idle stream"},

	{Name: "default_deadline", Kind: KindDuration, Levels: []Level{LevelRank, LevelTeamRank}, Min: ms, Max: 7 * 24 * hour, Default: `"30s"`, Doc: "deadline of a request that names none (urgent 30s, lookup 2s, overnight 12h)"},
	{Name: "guaranteed_share", Kind: KindShare, Levels: rankOnly, Default: "0", Min: 0, Max: 1, Doc: "share of the capacity that a rank keeps in any flood (urgent 0.5, lookup 0.2, overnight 0.1); the sum is at most 1"},
	{Name: "worth", Kind: KindNumber, Levels: []Level{LevelRank, LevelTeamRank}, Default: "1", Min: 0, Max: 1e6, Doc: "value of a finished request, for sharing what is not guaranteed (urgent 100, lookup 10, overnight 1)"},
	{Name: "overnight.dawn", Kind: KindTimeOfDay, Levels: with(LevelTeam), Default: `"06:00"`, Doc: "time of day by which overnight work is done"},
	{Name: "overnight.utc_offset", Kind: KindDuration, Levels: with(LevelTeam), Default: `"0s"`, Min: -14 * hour, Max: 14 * hour, Doc: "offset from UTC of overnight.dawn"},

	{Name: "operators.key_hashes", Kind: KindHashes, Levels: rootOnly, Default: "[]", Doc: "SHA-256 hashes of the operators' keys, in lower-case hexadecimal"},
	{Name: "key_hashes", Kind: KindHashes, Levels: teamOnly, Default: "[]", Doc: "SHA-256 hashes of the team's keys, in lower-case hexadecimal"},
	{Name: "weight", Kind: KindNumber, Levels: teamOnly, Default: "1", Min: 0.001, Max: 1e6, Doc: "entitlement of the team relative to the others"},
	{Name: "default_rank", Kind: KindRank, Levels: teamOnly, Default: `"lookup"`, Doc: "rank of a request that names none"},
	{Name: "allowed_models", Kind: KindNames, Levels: teamOnly, Default: "[]", Doc: "models that the team may use; empty allows all"},

	{Name: "layers", Kind: KindInteger, Levels: modelOnly, Required: true, Min: 1, Max: 10000, Doc: "number of layers of the model"},
	{Name: "version", Kind: KindText, Levels: modelOnly, Required: true, Doc: "version that the engines must hold"},
	{Name: "adapters", Kind: KindNames, Levels: modelOnly, Default: "[]", Doc: "adapters of the model"},
	{Name: "bytes_per_layer", Kind: KindBytes, Levels: modelOnly, Default: "1073741824", Min: 1, Max: maxBytes, Doc: "size of the weights of one layer"},
	{Name: "kv_bytes_per_token_layer", Kind: KindBytes, Levels: modelOnly, Default: "4096", Min: 1, Max: maxBytes, Doc: "size of the KV cache for one token and layer"},

	{Name: "path", Kind: KindPath, Levels: routeOnly, Required: true, Doc: "HTTP path at the service"},
	{Name: "upstreams", Kind: KindNames, Levels: routeOnly, Required: true, Doc: "servers of the service; each an upstream of kind service"},
	{Name: "repeatable", Kind: KindBool, Levels: routeOnly, Default: "false", Doc: "whether a call may be sent more than once"},
	{Name: "timeout", Kind: KindDuration, Levels: routeOnly, Default: `"5s"`, Min: ms, Max: hour, Doc: "longest wait for the service's answer"},

	{Name: "address", Kind: KindAddress, Levels: upOnly, Required: true, Doc: "IP:port of the upstream"},
	{Name: "kind", Kind: KindChoice, Levels: upOnly, Required: true, Choices: []string{KindEngine, KindService}, Doc: "model engine or plain service"},
	{Name: "data_centre", Kind: KindText, Levels: upOnly, Required: true, Doc: "data centre of the upstream"},
	{Name: "fencing", Kind: KindChoice, Levels: upOnly, Default: `"ignored"`, Choices: []string{FencingEnforced, FencingIgnored}, Doc: "whether the engine refuses an order with a stale epoch"},
	{Name: "accelerator", Kind: KindText, Levels: upOnly, Default: `""`, Doc: "kind of the accelerator"},
	{Name: "memory_bytes", Kind: KindBytes, Levels: upOnly, Default: "0", Min: 0, Max: maxBytes, Doc: "memory for weights and KV cache; an engine must give it"},
	{Name: "speed", Kind: KindNumber, Levels: upOnly, Default: "1", Min: 0.001, Max: 1e6, Doc: "speed relative to the fleet's reference accelerator"},
	{Name: "slots", Kind: KindInteger, Levels: upOnly, Default: "8", Min: 1, Max: 1e6, Doc: "batch slots of an engine, parallel calls of a service"},
	{Name: "upstreams.silence", Kind: KindDuration, Levels: with(LevelUpstream), Default: `"2s"`, Min: 600 * ms, Max: mins, Doc: "silence after which a stream is abandoned; longer than the engines' heartbeat of 500ms"},
	{Name: "upstreams.connect_timeout", Kind: KindDuration, Levels: with(LevelUpstream), Default: `"500ms"`, Min: ms, Max: mins, Doc: "longest wait for a connection"},
	{Name: "upstreams.state_poll", Kind: KindDuration, Levels: with(LevelUpstream), Default: `"500ms"`, Min: 10 * ms, Max: mins, Doc: "time between two reads of an engine's state"},

	{Name: "links.*.latency", Kind: KindDuration, Levels: dcOnly, Default: `"1ms"`, Min: 0, Max: 10 * sec, Doc: "one-way latency to the named data centre"},
	{Name: "links.*.bytes_per_second", Kind: KindBytes, Levels: dcOnly, Default: "125000000", Min: 1, Max: maxBytes, Doc: "rate to the named data centre"},

	{Name: "admission.headroom", Kind: KindShare, Levels: with(LevelRank), Default: "0.1", Min: 0, Max: 0.9, Doc: "part of the deadline kept as reserve when a request is admitted"},
	{Name: "admission.depth", Kind: KindInteger, Levels: with(LevelUpstream), Default: "2", Min: 0, Max: 1000, Doc: "requests kept at an upstream beyond its slots"},
	{Name: "retry.ratio", Kind: KindShare, Levels: with(LevelUpstream, LevelTeam), Default: "0.1", Min: 0, Max: 1, Doc: "retries as a share of the successful requests"},
	{Name: "retry.minimum", Kind: KindInteger, Levels: with(LevelUpstream, LevelTeam), Default: "3", Min: 0, Max: 1000, Doc: "retries allowed before any request succeeded"},

	{Name: "outlier.consecutive_failures", Kind: KindInteger, Levels: with(LevelUpstream), Default: "3", Min: 1, Max: 1000, Doc: "failures in a row that eject an upstream"},
	{Name: "outlier.failure_share", Kind: KindShare, Levels: with(LevelUpstream), Default: "0.5", Min: 0.01, Max: 1, Doc: "share of failures within the window that ejects an upstream"},
	{Name: "outlier.min_requests", Kind: KindInteger, Levels: with(LevelUpstream), Default: "10", Min: 1, Max: 1e6, Doc: "requests within the window before the share counts"},
	{Name: "outlier.window", Kind: KindDuration, Levels: with(LevelUpstream), Default: `"10s"`, Min: 100 * ms, Max: hour, Doc: "window of outlier.failure_share"},
	{Name: "outlier.slow_factor", Kind: KindNumber, Levels: with(LevelUpstream), Default: "3", Min: 1.1, Max: 100, Doc: "times slower than the median of its kind that counts as an outlier"},
	{Name: "outlier.ejection", Kind: KindDuration, Levels: with(LevelUpstream), Default: `"5s"`, Min: 100 * ms, Max: hour, Doc: "first ejection; each further one is longer"},
	{Name: "outlier.ejection_max", Kind: KindDuration, Levels: with(LevelUpstream), Default: `"5m"`, Min: 100 * ms, Max: 24 * hour, Doc: "longest ejection; not shorter than outlier.ejection"},
	{Name: "outlier.max_ejected", Kind: KindShare, Levels: places, Default: "0.5", Min: 0, Max: 1, Doc: "share of the upstreams of a kind that may be ejected at once"},
	{Name: "outlier.return_over", Kind: KindDuration, Levels: with(LevelUpstream), Default: `"10s"`, Min: 0, Max: hour, Doc: "time over which a returning upstream gets its full load"},

	{Name: "quarantine.crashes", Kind: KindInteger, Levels: with(LevelModel), Default: "2", Min: 1, Max: 3, Doc: "crashes at which a fingerprint is quarantined"},
	{Name: "quarantine.duration", Kind: KindDuration, Levels: with(LevelModel), Default: `"10m"`, Min: sec, Max: 24 * hour, Doc: "how long a fingerprint is refused"},
	{Name: "quarantine.similarity", Kind: KindShare, Levels: with(LevelModel), Default: "0.8", Min: 0.1, Max: 1, Doc: "similarity at which two prompts share a fingerprint"},
	{Name: "quarantine.entries", Kind: KindInteger, Levels: places, Default: "1024", Min: 16, Max: 1e6, Doc: "most suspected fingerprints that a VM keeps"},

	{Name: "placement.interval", Kind: KindDuration, Levels: places, Default: `"5s"`, Min: 100 * ms, Max: hour, Doc: "time between two plans without a change"},
	{Name: "placement.lease", Kind: KindDuration, Levels: places, Default: `"10s"`, Min: sec, Max: hour, Doc: "period of an ownership lease; longer than placement.read_back"},
	{Name: "placement.read_back", Kind: KindDuration, Levels: places, Default: `"2s"`, Min: 100 * ms, Max: mins, Doc: "time between two comparisons of an engine with its order"},
	{Name: "placement.kv_reserve", Kind: KindShare, Levels: with(LevelUpstream), Default: "0.2", Min: 0, Max: 0.9, Doc: "share of an engine's memory kept for KV cache"},
	{Name: "placement.max_loading", Kind: KindShare, Levels: places, Default: "0.25", Min: 0.01, Max: 1, Doc: "share of the engines that may load at once in a planned change"},

	{Name: "membership.ping", Kind: KindDuration, Levels: places, Default: `"1s"`, Min: 50 * ms, Max: mins, Doc: "time between two pings"},
	{Name: "membership.ping_timeout", Kind: KindDuration, Levels: places, Default: `"300ms"`, Min: 10 * ms, Max: mins, Doc: "wait for an ack; shorter than membership.ping"},
	{Name: "membership.indirect", Kind: KindInteger, Levels: places, Default: "3", Min: 0, Max: 16, Doc: "members asked to ping a silent one"},
	{Name: "membership.suspicion", Kind: KindDuration, Levels: places, Default: `"3s"`, Min: 100 * ms, Max: 10 * mins, Doc: "time after which a suspected member counts as failed"},
	{Name: "membership.summary", Kind: KindDuration, Levels: places, Default: `"2s"`, Min: 100 * ms, Max: 10 * mins, Doc: "time between two summaries to other data centres"},
	{Name: "membership.relays", Kind: KindInteger, Levels: places, Default: "2", Min: 1, Max: 16, Doc: "VMs of a data centre that exchange summaries"},
	{Name: "spread.fan_out", Kind: KindInteger, Levels: places, Default: "8", Min: 1, Max: 64, Doc: "VMs to which one VM relays a settings record"},
	{Name: "spread.readers", Kind: KindInteger, Levels: places, Default: "2", Min: 1, Max: 64, Doc: "VMs of a data centre that read the log"},

	{Name: "rehearsal.allowed", Kind: KindBool, Levels: places, Default: "true", Doc: "whether faults may be rehearsed"},
	{Name: "rehearsal.max_duration", Kind: KindDuration, Levels: places, Default: `"15m"`, Min: sec, Max: 24 * hour, Doc: "longest rehearsal"},
	{Name: "rehearsal.max_upstreams", Kind: KindShare, Levels: places, Default: "0.34", Min: 0, Max: 1, Doc: "share of the upstreams that a rehearsal may fault"},
}

// rankDefaults are the defaults that differ by rank. The page's defaults for
// the shares leave 20% to be shared by worth.
var rankDefaults = map[string]map[string]string{
	"urgent":    {"default_deadline": `"30s"`, "guaranteed_share": "0.5", "worth": "100"},
	"lookup":    {"default_deadline": `"2s"`, "guaranteed_share": "0.2", "worth": "10"},
	"overnight": {"default_deadline": `"12h"`, "guaranteed_share": "0.1", "worth": "1"},
}

// The choices of an upstream's kind and fencing.
const (
	KindEngine      = "engine"
	KindService     = "service"
	FencingEnforced = "enforced"
	FencingIgnored  = "ignored"
)
