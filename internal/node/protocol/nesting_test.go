package protocol

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"brackenbend/internal/api"
	"brackenbend/internal/engine"
)

// maxMessageStack is the largest growth of the stacks, in bytes, that parsing one message may cause. It is the size
// limit of a message, so the limit on buffered bodies bounds the stacks too.
const maxMessageStack = 256 << 10

// stackGrowth returns by how many bytes the stacks in use grow while parse runs in a goroutine of its own.
func stackGrowth(parse func()) int64 {
	stacksInUse := func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.StackInuse)
	}
	runtime.GC() // starts the collector's goroutines, whose stacks would count otherwise
	before, after := stacksInUse(), make(chan int64)
	go func() {
		parse()
		after <- stacksInUse() // a stack shrinks in a garbage collection only
	}()
	return <-after - before
}

// TestNestedMessageNeedsLittleStack guards against a node killed for its memory: a message of nothing but opening
// brackets made a parser recurse once for each bracket.
func TestNestedMessageNeedsLittleStack(t *testing.T) {
	const levels = 9990 // within the nesting limit of encoding/json
	messages := map[string]string{
		"unclosed arrays":  `{"a":` + strings.Repeat("[", 256<<10-len(`{"a":`)),
		"unclosed objects": strings.Repeat(`{"a":`, 256<<10/len(`{"a":`)),
		"closed arrays":    `{"a":` + strings.Repeat("[", levels) + strings.Repeat("]", levels) + "}",
		"closed objects":   strings.Repeat(`{"a":`, levels) + "1" + strings.Repeat("}", levels),
	}
	head := readRequest(t, validHead)
	parsers := map[string]func(message []byte){
		"client's body":        func(message []byte) { _, _ = clientProtocol.ParseRequest(head, message) },
		"reply to a prefill":   func(message []byte) { parseCachedTokens(message) },
		"OpenAI client's body": func(message []byte) { _, _ = api.Parse(api.PathChat, message) },
		"vLLM engine's reply":  func(message []byte) { _, _ = api.ParsePrefillReply(message) },
		"collected event":      func(message []byte) { _ = api.NewCollector(true, 1<<20).Add(message) },
		"load report":          func(message []byte) { engine.ParseLoadReport("JSON " + string(message)) },
	}
	for parser, parse := range parsers {
		for name, message := range messages {
			if growth := stackGrowth(func() { parse([]byte(message)) }); growth > maxMessageStack {
				t.Errorf("%s, %s: the stack grew by %d KiB", parser, name, growth>>10)
			}
		}
	}
}

// TestNestedBodyIsRejected checks that a body nested too deeply gets an error, and one within the limit is accepted.
func TestNestedBodyIsRejected(t *testing.T) {
	head := readRequest(t, validHead)
	nested := func(levels int) []byte {
		return []byte(`{"a":` + strings.Repeat("[", levels) + strings.Repeat("]", levels) + "}")
	}
	if _, apiErr := clientProtocol.ParseRequest(head, nested(1000)); apiErr != nil {
		t.Errorf("1,000 levels: %v", apiErr)
	}
	_, apiErr := clientProtocol.ParseRequest(head, nested(100_000))
	if apiErr == nil || apiErr.Status != http.StatusBadRequest {
		t.Errorf("100,000 levels: %v", apiErr)
	}
}
