package intake

import "time"

// Limits bounds what callers may hold in a process.
type Limits struct {
	// Bytes bounds the memory that callers hold, connections included.
	Bytes int64
	// Connections bounds the number of their connections.
	Connections int
}

const (
	// processBytes is the memory of a process without callers: its code, the state of a large
	// fleet and the fragmentation of the heap.
	processBytes = 32 << 20
	// callerShare is the part of the memory of which callers get what processBytes leaves. The
	// runtime's memory limit, 0.6 of the memory, must stay above the live heap.
	callerShare = 0.5
	// minCallerShare is the part that callers get at least, for processes with little memory.
	minCallerShare = 0.125
	// minBytes is the least size of an account, for processes whose memory is not known. A body
	// of the largest size on the platform fits.
	minBytes = 16 << 20
	// fileDescriptors are the descriptors that are reserved for files.
	fileDescriptors = 200
	// connectionShare is the part of the sockets that callers' connections may take. Each of
	// them may need a second socket to an upstream; the rest is for the store, the other VMs
	// and the other listeners.
	connectionShare = 0.4
	// connectionBytesShare is the part of the bytes that connections without requests may take.
	connectionBytesShare = 0.5
	// smallConnectionShare is the part of the sockets for a listener with few, short requests,
	// and smallBytesShare the part of the callers' bytes for it.
	smallConnectionShare = 0.05
	smallBytesShare      = 0.05
	// minConnections is the least number of connections of any listener.
	minConnections = 16
)

const (
	// connectionBytes is the memory of a connection without a request: the stacks of two
	// goroutines and the buffers of net/http.
	connectionBytes = 32 << 10
	// requestBytes is the memory of a request that is served beside its header and body: larger
	// stacks, the connection to the upstream and the buffer through which its answer passes.
	requestBytes = 48 << 10
	// headerLineBytes is the memory of an entry in a parsed header beside its text, and
	// headerFactor the number of copies of the text.
	headerLineBytes = 200
	headerFactor    = 2
	// largestReserve is the part of the account that a large body must leave free.
	largestReserve = 0.125
	// calmShare is the part of the account up to which no connection counts as stalled.
	calmShare = 0.5
	// partShare is the part of the account above which no address or team takes more than its
	// even part.
	partShare = 0.75
	// batchShare is the part of the account or of the connections that is freed at once, so
	// that a scan over all connections pays for itself.
	batchShare = 1.0 / 16
	// stallTime is the time in which a connection must make progress under pressure. Callers
	// give a VM one second to read a request.
	stallTime = time.Second
	// minProgress is the number of bytes that count as progress within stallTime.
	minProgress = 1 << 10
	// unfinishedTime is the time after which a request under pressure counts as stalled although
	// its body arrives bit by bit.
	unfinishedTime = 5 * time.Second
	// finishTime is the time after which a served connection that writes nothing more has no
	// answer on its way.
	finishTime = 100 * time.Millisecond
	// scanInterval is the shortest time between two scans over all connections for the same
	// purpose, and markInterval that between two scans that only record progress.
	scanInterval = 10 * time.Millisecond
	markInterval = 250 * time.Millisecond
)

// LimitsFor returns the limits for callers of a process with this much memory and this many
// descriptors.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	bytes := max(int64(minCallerShare*float64(memoryBytes)), int64(callerShare*float64(memoryBytes))-processBytes)
	if memoryBytes <= 0 {
		bytes = minBytes
	}
	byMemory := int(connectionBytesShare * float64(bytes) / connectionBytes)
	byDescriptors := int(connectionShare * float64(sockets(descriptors)))
	return Limits{Bytes: bytes, Connections: max(min(byMemory, byDescriptors), minConnections)}
}

// SmallLimitsFor returns the limits for a listener with few and short requests, such as the one
// for readiness.
func SmallLimitsFor(memoryBytes int64, descriptors int) Limits {
	all := LimitsFor(memoryBytes, descriptors)
	connections := max(int(smallConnectionShare*float64(sockets(descriptors))), minConnections)
	return Limits{Bytes: max(int64(smallBytesShare*float64(all.Bytes)), int64(2*connections)*connectionBytes), Connections: connections}
}

// sockets returns the number of descriptors that may be sockets.
func sockets(descriptors int) int { return max(descriptors-fileDescriptors, descriptors/2) }
