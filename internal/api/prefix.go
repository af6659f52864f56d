package api

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// EstimateTokens returns the length of the prompt in tokens. It is estimated from the prompt's bytes unless the prompt
// is an array of token IDs.
func (r *Request) EstimateTokens(bytesPerToken float64) float64 {
	if r.PromptTokens > 0 {
		return float64(r.PromptTokens)
	}
	n := len(r.Prompt)
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Text)
	}
	return math.Ceil(float64(n) / bytesPerToken)
}

// newHash returns a hash to which the model's name is already written, because the state in a prefix cache is valid for
// one model only. Writing to it can't fail.
func (r *Request) newHash() *xxhash.Digest {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Model)
	return digest
}

// SystemMessagesHash returns the hash and the size in bytes of the leading system and developer messages, which
// sessions can share; 0, 0 if there are none, as in a text completion.
func (r *Request) SystemMessagesHash() (hash uint64, size int) {
	digest := r.newHash()
	for _, m := range r.Messages {
		if m.Role != "system" && m.Role != "developer" {
			break
		}
		_, _ = digest.WriteString("\x00" + m.Text) // can't fail
		size += len(m.Role) + len(m.Text)
	}
	if size == 0 {
		return 0, 0
	}
	return digest.Sum64(), size
}

// FirstTurnHash returns the hash of all messages up to and including the first user message, which all turns of a
// conversation share; 0 if there is no user message.
func (r *Request) FirstTurnHash() uint64 {
	digest := r.newHash()
	for _, m := range r.Messages {
		_, _ = digest.WriteString("\x00" + m.Role + "\x00" + m.Text) // can't fail
		if m.Role == "user" {
			return digest.Sum64()
		}
	}
	return 0
}

// PromptPrefixHash returns the hash of the first prefixBytes bytes of the prompt or of the messages with their roles,
// and prefixBytes; 0, 0 if they are shorter.
func (r *Request) PromptPrefixHash(prefixBytes int) (hash uint64, size int) {
	digest := r.newHash()
	remainingBytes := prefixBytes
	add := func(s string) {
		s = s[:min(len(s), remainingBytes)]
		remainingBytes -= len(s)
		_, _ = digest.WriteString(s) // can't fail
	}
	add(r.Prompt)
	for _, m := range r.Messages {
		add(m.Role)
		add(m.Text)
	}
	if remainingBytes > 0 {
		return 0, 0
	}
	return digest.Sum64(), prefixBytes
}
