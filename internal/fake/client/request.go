package client

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
)

// defaultModel is the model that scenarios ask for.
const defaultModel = "day"

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// messages are the conversation so far: the user and the assistant take turns.
func (a *Attempt) messages() []message {
	var messages []message
	if a.System != "" {
		messages = append(messages, message{"system", a.System})
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
	if err != nil { // plain values only
		panic(err)
	}
	return body
}

// encode is the request as it is written to the socket.
func (a *Attempt) encode(host string) []byte {
	body := a.body()
	var b bytes.Buffer
	field := func(name, format string, value any) { fmt.Fprintf(&b, name+": "+format+"\r\n", value) }
	b.WriteString("POST /v1/chat/completions HTTP/1.1\r\n")
	field("Host", "%s", host)
	field("Content-Type", "%s", "application/json")
	field("Content-Length", "%d", len(body))
	field("X-Class", "%s", a.ClassName)
	field("X-Tenant", "%s", a.Tenant)
	field("X-Session-Id", "%s", a.Session)
	field("X-Stainless-Read-Timeout", "%.3f", a.Timeout.Seconds())
	if a.Key != "" {
		field("Idempotency-Key", "%s", a.Key)
	}
	if a.MarksRetries {
		field("X-Stainless-Retry-Count", "%d", a.Retries)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
