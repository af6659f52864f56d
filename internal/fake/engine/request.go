package engine

import (
	"strconv"

	"brackenbend/internal/fake/enginemodel"
)

const (
	// bytesPerToken is the usual approximation for English text.
	bytesPerToken = 4
	// defaultAnswerTokens is the length of an answer if the request does not limit it.
	defaultAnswerTokens = 64
	// maxChoices bounds the choices (n) of one request.
	maxChoices = 8
)

// completionRequest is the part of a request body that the fake reads.
type completionRequest struct {
	Model               string    `json:"model"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Choices             *int      `json:"n"`
	Messages            []message `json:"messages"`
	Prompt              text      `json:"prompt"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// Metadata is set by the clients of a scenario. Its keys are effect, try, class, kind and answer; answer is the
	// length of the answer in tokens.
	Metadata   map[string]string `json:"metadata"`
	KVTransfer *kvTransfer       `json:"kv_transfer_params"`
}

type message struct {
	Role    string `json:"role"`
	Content text   `json:"content"`
}

// kvTransfer marks a request as the prefill or the decode of a disaggregated pair. For a decode it locates the read
// state.
type kvTransfer struct {
	RemoteDecode  bool    `json:"do_remote_decode"`
	RemotePrefill bool    `json:"do_remote_prefill"`
	Host          string  `json:"remote_host"`
	Port          int     `json:"remote_port"`
	RequestID     string  `json:"remote_request_id"`
	Tokens        float64 `json:"remote_tokens"`
}

// job returns the job by which the model represents the request.
func (q *completionRequest) job(id string) *enginemodel.Job {
	promptBytes, prefixBytes := len(q.Prompt), 0
	systemPrompt, firstMessage := "", ""
	for i, m := range q.Messages {
		promptBytes += len(m.Role) + len(m.Content)
		if m.Role == "system" && i == 0 {
			systemPrompt, prefixBytes = string(m.Content), len(m.Role)+len(m.Content)
		} else if firstMessage == "" {
			firstMessage = string(m.Content)
		}
	}
	job := &enginemodel.Job{
		ID:           id,
		PromptTokens: max(float64(promptBytes)/bytesPerToken, 1),
		Prefix:       systemPrompt,
		PrefixTokens: float64(prefixBytes) / bytesPerToken,
		Session:      systemPrompt + "\x00" + firstMessage,
		OutputTokens: q.answerTokens(),
	}
	if q.KVTransfer != nil && q.KVTransfer.RemoteDecode {
		job.PrefillOnly = true
	} else if q.KVTransfer != nil && q.KVTransfer.RemotePrefill {
		job.FetchTokens = max(job.PromptTokens, 1)
	}
	return job
}

// answerTokens returns the length of the answer: what the client of a scenario asks for in its metadata, within the
// limit of the request.
func (q *completionRequest) answerTokens() int {
	tokens := defaultAnswerTokens
	if q.MaxTokens != nil {
		tokens = *q.MaxTokens
	}
	if q.MaxCompletionTokens != nil {
		tokens = *q.MaxCompletionTokens
	}
	if n, err := strconv.Atoi(q.Metadata["answer"]); err == nil && n > 0 {
		tokens = min(tokens, n)
	}
	return tokens
}

// maxTokens returns the limit on the length of the answer; 0 = none.
func (q *completionRequest) maxTokens() int {
	return max(valueOrZero(q.MaxTokens), valueOrZero(q.MaxCompletionTokens))
}

// choiceCount returns the number of choices that the response has.
func (q *completionRequest) choiceCount() int {
	return min(max(valueOrZero(q.Choices), 1), maxChoices)
}

// isChat reports whether the request is a chat completion.
func (q *completionRequest) isChat() bool { return len(q.Messages) > 0 }

func valueOrZero(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}
