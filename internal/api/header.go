package api

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"brackenbend/internal/http1"
)

// IsRetry reports whether a request is an automatic retry by the client's SDK: the OpenAI SDKs number the attempts of a
// call in X-Stainless-Retry-Count, from 0. A value that is not a number counts as a retry, because a retry that is not
// recognized could run a request twice.
func IsRetry(h http1.Header) bool {
	v := strings.TrimSpace(h.Get("X-Stainless-Retry-Count"))
	return strings.Trim(v, "0") != ""
}

// maxTimeoutSeconds is the longest client timeout that is accepted; longer ones are ignored.
const maxTimeoutSeconds = 86400

// ClientTimeout returns how long the client waits: the shortest of the timeouts that the OpenAI SDKs send as header
// fields, in seconds; 0 if unknown.
func ClientTimeout(h http1.Header) time.Duration {
	shortest := time.Duration(0)
	for _, name := range []string{"X-Stainless-Timeout", "X-Stainless-Read-Timeout"} {
		seconds, err := strconv.ParseFloat(h.Get(name), 64)
		if err != nil || !(seconds > 0) || seconds > maxTimeoutSeconds { // NaN is not positive
			continue
		}
		if timeout := time.Duration(seconds * float64(time.Second)); shortest == 0 || timeout < shortest {
			shortest = timeout
		}
	}
	return shortest
}

// ShorterTimeout returns how long a client waits: the deadline of its class, or the client's own timeout if that is
// shorter. A client timeout of 0 means unknown.
func ShorterTimeout(classDeadline, clientTimeout time.Duration) time.Duration {
	if clientTimeout > 0 && clientTimeout < classDeadline {
		return clientTimeout
	}
	return classDeadline
}

// SubtractMargin returns the time in which a gateway must answer so that the answer arrives within wait. The margin
// allows for the transfer to the client. The result is at least half of wait.
func SubtractMargin(wait, margin time.Duration) time.Duration { return max(wait-margin, wait/2) }

// hashedAPIKey returns the SHA-256, in hex, of the bearer token, or "" without one. Settings contain only such hashes,
// so that they need not hold secrets.
func hashedAPIKey(h http1.Header) string {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(token)))
	return hex.EncodeToString(sum[:])
}
