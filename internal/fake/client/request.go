package client

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
)

// defaultModel is the model that scenarios request.
const defaultModel = "day"

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// messages returns the conversation so far: the system prompt, then user and assistant alternately.
func (a *Attempt) messages() []message {
	var messages []message
	if a.SystemPrompt != "" {
		messages = append(messages, message{"system", a.SystemPrompt})
	}
	for i, turn := range a.Turns {
		messages = append(messages, message{[]string{"user", "assistant"}[i%2], turn})
	}
	return messages
}

func (a *Attempt) body() []byte {
	body, err := json.Marshal(map[string]any{
		"model":      cmp.Or(a.Model, defaultModel),
		"stream":     a.Stream,
		"max_tokens": a.MaxTokens,
		"messages":   a.messages(),
		"metadata": map[string]string{
			"try":    a.ID,
			"effect": a.Intent,
			"kind":   string(a.Class),
			"class":  a.ClassName,
			"answer": strconv.Itoa(a.AnswerTokens),
		},
	})
	if err != nil { // impossible: all values are plain
		panic(err)
	}
	return body
}

// encode returns the HTTP request as it is written to the connection.
func (a *Attempt) encode(host string) []byte {
	body := a.body()
	var b bytes.Buffer
	writeField := func(name, format string, value any) { fmt.Fprintf(&b, name+": "+format+"\r\n", value) }
	b.WriteString("POST /v1/chat/completions HTTP/1.1\r\n")
	writeField("Host", "%s", host)
	writeField("Content-Type", "%s", "application/json")
	writeField("Content-Length", "%d", len(body))
	writeField("X-Class", "%s", a.ClassName)
	writeField("X-Tenant", "%s", a.Tenant)
	writeField("X-Session-Id", "%s", a.Session)
	writeField("X-Stainless-Read-Timeout", "%.3f", a.Timeout.Seconds())
	if a.IdempotencyKey != "" {
		writeField("Idempotency-Key", "%s", a.IdempotencyKey)
	}
	if a.MarksRetries {
		writeField("X-Stainless-Retry-Count", "%d", a.Retries)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
