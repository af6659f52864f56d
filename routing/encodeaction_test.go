package routing

import (
	"fmt"
	"strings"
)

// encodeAction encodes an action in a form that does not depend on the names of types and fields: a fixed name for the
// type of the action, then its values in a fixed order. Durations are in nanoseconds. The text of a Log is left out.
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
	panic("unknown type of action")
}

// encode joins a name and values with spaces.
func encode(name string, values ...any) string {
	var b strings.Builder
	b.WriteString(name)
	for _, v := range values {
		fmt.Fprintf(&b, " %v", v)
	}
	return b.String()
}
