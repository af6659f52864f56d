package routing

import (
	"fmt"
	"strings"
)

// encodeAction writes an action in a form that stays the same when types and fields are renamed: a fixed name for the
// kind of action, then its values in a fixed order. Durations are nanoseconds. Of a log line only its position counts.
func encodeAction(a Action) string {
	switch a := a.(type) {
	case Send:
		return encode("send", a.Request, a.Endpoint, int64(a.Timeout), int64(a.ConnectTimeout), int64(a.SendWindow))
	case Reject:
		return encode("refuse", a.Request, int64(a.RetryAfter), a.NoAutoRetry, int(a.Reason))
	case Fail:
		return encode("fail", a.Request, a.PossibleDuplicate, int(a.Reason))
	case Cancel:
		return encode("cancel", a.Request, a.Attempt)
	case ReleaseState:
		return encode("release", a.Request)
	case Reserve:
		return encode("reserve", a.Request, a.Endpoint)
	case SetTimer:
		return encode("wake", int64(a.After), a.Tag)
	case FetchEndpoints:
		return encode("watch")
	case Log:
		return "log"
	}
	panic("an action of no known kind")
}

// encode joins a name and values by spaces.
func encode(name string, values ...any) string {
	var b strings.Builder
	b.WriteString(name)
	for _, v := range values {
		fmt.Fprintf(&b, " %v", v)
	}
	return b.String()
}
