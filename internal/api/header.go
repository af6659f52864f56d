package api

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"brackenbend/internal/http1"
)

// IsRetry reports that a client's SDK retries a request by itself: the OpenAI SDKs number their attempts at one call in
// X-Stainless-Retry-Count, from 0. A value that is no number counts as a retry, since missing one does harm.
func IsRetry(h http1.Header) bool {
	v := strings.TrimSpace(h.Get("X-Stainless-Retry-Count"))
	return strings.Trim(v, "0") != ""
}

// maxTimeoutSeconds is the longest timeout that is believed.
const maxTimeoutSeconds = 86400

// ClientTimeout is how long the client waits, by the timeout fields of the OpenAI SDKs, which are in seconds; 0 if
// unknown.
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

// EffectiveTimeout is how long a client waits: its class's deadline, or the client's timeout if that is sooner (0 =
// unknown).
func EffectiveTimeout(class, client time.Duration) time.Duration {
	if client > 0 && client < class {
		return client
	}
	return class
}

// WithMargin is how long a gateway may take for an answer that must arrive within wait.
func WithMargin(wait, margin time.Duration) time.Duration { return max(wait-margin, wait/2) }

// hashedAPIKey is the SHA-256, in hex, of the bearer token, so that settings need not hold secrets.
func hashedAPIKey(h http1.Header) string {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(token)))
	return hex.EncodeToString(sum[:])
}
