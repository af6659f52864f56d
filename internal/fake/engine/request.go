package engine

import (
	"strconv"

	"brackenbend/internal/fake/enginemodel"
)

const (
	// bytesPerToken is the usual rule of thumb for English text.
	bytesPerToken = 4
	// defaultAnswerTokens is the length of an answer that the request doesn't bound.
	defaultAnswerTokens = 64
	// maxChoices bounds the answers (n) of one request.
	maxChoices = 8
)

// completionRequest is the part of a body that the fake looks at.
type completionRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens *int      `json:"max_tokens"`
	MaxNew    *int      `json:"max_completion_tokens"`
	N         *int      `json:"n"`
	Messages  []message `json:"messages"`
	Prompt    text      `json:"prompt"`
	Options   struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	// Metadata is what the clients of a scenario send its engines: effect, try, class, kind, answer (tokens).
	Metadata map[string]string `json:"metadata"`
	KV       *kvTransfer       `json:"kv_transfer_params"`
}

type message struct {
	Role    string `json:"role"`
	Content text   `json:"content"`
}

// kvTransfer says that a request is one stage of two, and for a decode where its read state is.
type kvTransfer struct {
	RemoteDecode  bool    `json:"do_remote_decode"`
	RemotePrefill bool    `json:"do_remote_prefill"`
	Host          string  `json:"remote_host"`
	Port          int     `json:"remote_port"`
	Request       string  `json:"remote_request_id"`
	Tokens        float64 `json:"remote_tokens"`
}

// job makes the model's view of a request.
func (q *completionRequest) job(id string) *enginemodel.Job {
	size, prefixSize := len(q.Prompt), 0
	system, first := "", ""
	for i, m := range q.Messages {
		size += len(m.Role) + len(m.Content)
		if m.Role == "system" && i == 0 {
			system, prefixSize = string(m.Content), len(m.Role)+len(m.Content)
		} else if first == "" {
			first = string(m.Content)
		}
	}
	job := &enginemodel.Job{
		ID:           id,
		PromptTokens: max(float64(size)/bytesPerToken, 1),
		Prefix:       system,
		PrefixTokens: float64(prefixSize) / bytesPerToken,
		Session:      system + "\x00" + first,
		OutputTokens: q.answerTokens(),
	}
	if q.KV != nil && q.KV.RemoteDecode {
		job.PrefillOnly = true
	} else if q.KV != nil && q.KV.RemotePrefill {
		job.FetchTokens = max(job.PromptTokens, 1)
	}
	return job
}

// answerTokens is the length of the answer: what the client of a scenario wants to get, within its bound.
func (q *completionRequest) answerTokens() int {
	tokens := defaultAnswerTokens
	if q.MaxTokens != nil {
		tokens = *q.MaxTokens
	}
	if q.MaxNew != nil {
		tokens = *q.MaxNew
	}
	if n, err := strconv.Atoi(q.Metadata["answer"]); err == nil && n > 0 {
		tokens = min(tokens, n)
	}
	return tokens
}

// maxTokens is the bound on the answer's length; 0 = none.
func (q *completionRequest) maxTokens() int {
	return max(valueOrZero(q.MaxTokens), valueOrZero(q.MaxNew))
}

// choices is the number of answers that were asked for.
func (q *completionRequest) choices() int { return min(max(valueOrZero(q.N), 1), maxChoices) }

// isChat reports whether the request is one of the chat endpoint.
func (q *completionRequest) isChat() bool { return len(q.Messages) > 0 }

func valueOrZero(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}
