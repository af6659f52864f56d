// Package simprotocol implements the binary protocol of the operators' simulator. It decodes the simulator's batches
// into events of package routing (decoder.go, events.go), encodes routing actions into replies (reply.go) and maps the
// simulator's settings to routing.Config (settings.go). It only translates; decisions are made in package routing.
//
// A Decoder or a Reply must not be used by several goroutines at once; the package starts none. All integers and
// floating-point numbers on the wire are big-endian.
package simprotocol

import (
	"math"
	"time"

	"brackenbend/routing"
)

// MaxFrame is the longest batch that is accepted, in bytes. It bounds the memory that a corrupt length can allocate.
const MaxFrame = 256 << 20

// Sizes in bytes.
const (
	batchHeaderSize = 20 // length, record count, time, sequence number
	replyHeaderSize = 12 // length, record count, sequence number
	endpointSize    = 22 // one endpoint of a numbered list
)

// maxLists is how many numbered endpoint lists the simulator may define; their numbers begin at 0.
const maxLists = 16

// Start creates an instance of the router, or replaces it by a new one. The adapter handles it; routers do not get it.
type Start struct {
	Seed     uint64
	Settings []byte // text for ParseSettings; valid until the next batch
}

// Stop ends an instance. The adapter handles it; routers do not get it.
type Stop struct{}

// Item is one event for one instance. Event is a Start, a Stop or a routing.Event.
type Item struct {
	Instance uint16
	Event    any
}

// Batch is one decoded frame. Now is the simulator's time and Seq the sequence number, which the reply repeats.
type Batch struct {
	Now   time.Duration
	Seq   uint32
	Items []Item
}

// Codes of the records in a batch.
const (
	recordStart              = 0
	recordEndpointList       = 1
	recordRequest            = 2
	recordFirstToken         = 3
	recordOutcome            = 4
	recordClientDisconnected = 5
	recordTimer              = 6
	recordHealthResult       = 7
	recordPeerMessage        = 8
	recordStop               = 9
	recordReserved           = 10
	recordDefineList         = 11 // an endpoint list with a number, to which records of all instances may refer
	recordInstance           = 12 // selects the instance that the following records are for
)

// Codes of the records in a reply.
const (
	replyLog            = 0
	replySend           = 1
	replyReject         = 6
	replyCancel         = 7
	replyInstance       = 8
	replySetTimer       = 10
	replyFetchEndpoints = 11
	replyFault          = 12
	replyFail           = 13
	replyReleaseState   = 14
	replyReserve        = 15
)

// listScopes maps the wire codes of endpoint list scopes.
var listScopes = map[byte]routing.ListScope{
	0: routing.ListFailed,
	1: routing.ListFull,
	3: routing.ListCached,
	4: routing.ListChanges,
}

// results maps the wire codes of attempt results.
var results = map[uint16]routing.Result{
	10:  routing.Served,
	20:  routing.EngineError,
	30:  routing.Rejected,
	40:  routing.TimedOut,
	50:  routing.ConnectFailed,
	60:  routing.ConnectionReset,
	70:  routing.Canceled,
	80:  routing.NotSent,
	102: routing.PrefillDone,
}

// maxEndpointState is the greatest wire code of an endpoint's state. The codes are the values of routing.EndpointState.
const maxEndpointState = 2

// Bits of a request's flags that are used.
const (
	flagRetry         = 1 << 1
	flagResumedStream = 1 << 4
)

// detailStateMissing is the detail field of a rejected attempt whose read state was not found.
const detailStateMissing = 1

// fromMicros converts a number of microseconds. Values that a Duration can't hold are clamped.
func fromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(math.MaxInt64/time.Microsecond))) * time.Microsecond
}

// toMicros converts a duration to microseconds for a 32-bit field, clamped to the non-negative range of a signed
// 32-bit integer.
func toMicros(d time.Duration) uint32 {
	return uint32(min(max(d/time.Microsecond, 0), math.MaxInt32))
}
