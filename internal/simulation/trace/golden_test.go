package trace

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"brackenbend/internal/golden"
)

func formatTrace(tr *Trace) string {
	var s strings.Builder
	fmt.Fprintf(&s, "begin %s parts %d torn %t steps %d gaps %d\n",
		tr.Start.UTC().Format(time.RFC3339Nano), tr.Segments, tr.Truncated, tr.ClockSteps, len(tr.Gaps))
	for _, q := range tr.Requests {
		fmt.Fprintf(&s, "at=%d class=%q tenant=%q session=%q prefix=%q prompt=%v prefix_len=%v max_out=%v out=%d "+
			"stream=%t result=%q first=%d took=%d\n",
			q.At, q.Class, q.Tenant, q.Session, q.Prefix, q.PromptTokens, q.PrefixTokens, q.MaxAnswerTokens, q.AnswerTokens,
			q.Stream, q.Result, q.FirstToken, q.Duration)
	}
	return s.String()
}

func decompress(t *testing.T, b []byte) string {
	t.Helper()
	z, err := zstd.NewReader(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	text, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Writes a recording of two segments, which must equal the stored one byte for byte, and reads the stored one.
func TestRecordingFormatIsUnchanged(t *testing.T) {
	full := Request{
		At: 3, Class: "c", Tenant: "t", Session: "s", Prefix: "p", PromptTokens: 100.5, PrefixTokens: 50.25,
		MaxAnswerTokens: 64, AnswerTokens: 7, Stream: true, Result: "served",
		FirstToken: 123456789, Duration: 2 * time.Second,
	}
	var b bytes.Buffer
	writeSegment(t, &b, startTime, full, requestAt(1), Request{At: 5, Class: "<&>", Result: "refused"})
	writeSegment(t, &b, startTime.Add(10*time.Second), requestAt(0), full)
	golden.Check(t, "recording.zst", b.String())
	golden.Check(t, "recording.jsonl", decompress(t, b.Bytes()))
	stored, err := os.ReadFile(filepath.Join("testdata", "recording.zst"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "recording.read.txt", formatTrace(readTrace(t, stored)))
}

// Compares the recording that FromLog makes of a replica's log with the stored one.
func TestRecordingOfLogIsUnchanged(t *testing.T) {
	const log = `{"level":"info","ts":"2026-01-02T03:04:05.678Z","msg":"answer served","front":"f","class":"c",` +
		`"tenant":"t","session":"s","prefix":"p","prompt_tokens":100.5,"prefix_tokens":50.25,"max_out":64,"events":7,` +
		`"stream":true,"first_token":"120ms","took":"2s"}
{"level":"info","ts":"2026-01-02T03:04:06Z","msg":"something else"}
no json
{"level":"info","ts":"2026-01-02T03:04:06Z","msg":"answer refused","class":"c","prompt_tokens":5,"took":"1.5ms"}
`
	var b bytes.Buffer
	n, skipped, err := FromLog(strings.NewReader(log), &b)
	if err != nil || n != 2 || skipped != 2 {
		t.Fatal(n, skipped, err)
	}
	golden.Check(t, "log.jsonl", decompress(t, b.Bytes()))
}
