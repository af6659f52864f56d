package trace

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
)

var startTime = time.Date(2026, 11, 2, 6, 0, 0, 0, time.UTC)

func writeSegment(t *testing.T, w *bytes.Buffer, start time.Time, requests ...Request) {
	t.Helper()
	p, err := NewWriter(w, Header{Start: start, Source: "front-1"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range requests {
		if err := p.Add(&requests[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
}

func requestAt(seconds float64) Request {
	return Request{
		At: time.Duration(seconds * float64(time.Second)), Class: "c", PromptTokens: 100, Duration: 100 * time.Millisecond,
		Result: "served", AnswerTokens: 5,
	}
}

func readTrace(t *testing.T, b []byte) *Trace {
	t.Helper()
	tr, err := Read(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// Reads recordings with two segments, with hours without requests, and with a clock that was set back within a segment
// and between two.
func TestReadDetectsGapsAndClockSteps(t *testing.T) {
	var b bytes.Buffer
	writeSegment(t, &b, startTime, requestAt(0), requestAt(1), requestAt(2), requestAt(3))
	writeSegment(t, &b, startTime.Add(10*time.Second), requestAt(0), requestAt(1))
	tr := readTrace(t, b.Bytes())
	if tr.Segments != 2 || len(tr.Requests) != 6 || tr.Requests[4].At != 10*time.Second || tr.ClockSteps != 0 ||
		len(tr.Gaps) != 0 {
		t.Errorf("%+v", tr)
	}
	writeSegment(t, &b, startTime.Add(10*time.Hour), requestAt(0), requestAt(1))
	tr = readTrace(t, b.Bytes())
	if len(tr.Gaps) != 1 || tr.Gaps[0].To != 10*time.Hour || len(tr.Warnings()) != 1 {
		t.Errorf("%+v", tr.Gaps)
	}
	tr.CloseGaps()
	if tr.Length() > time.Minute || len(tr.Gaps) != 0 {
		t.Errorf("closed: %v", tr.Length())
	}
	b.Reset()
	// The clock is set back by 15 s after the third request.
	steppedBack := []Request{requestAt(0), requestAt(10), requestAt(20), requestAt(5), requestAt(6)}
	writeSegment(t, &b, startTime, steppedBack...)
	writeSegment(t, &b, startTime.Add(-time.Hour), requestAt(0))
	tr = readTrace(t, b.Bytes())
	if tr.ClockSteps != 2 || tr.Length() < 20*time.Second || tr.Length() > time.Minute ||
		tr.Requests[4].At-tr.Requests[3].At != time.Second {
		t.Errorf("%d steps over %v: %+v", tr.ClockSteps, tr.Length(), tr.Requests)
	}
	// A request may end after others that began later; this is not a clock step.
	b.Reset()
	long := requestAt(0)
	long.Duration = 20 * time.Second
	writeSegment(t, &b, startTime, requestAt(1), requestAt(5), long, requestAt(21))
	if tr = readTrace(t, b.Bytes()); tr.ClockSteps != 0 || tr.Requests[0].Duration != 20*time.Second {
		t.Errorf("%+v", tr)
	}
}

// A file may be truncated at any byte, as by a crash. Requests that were flushed before that byte must be read; an
// error is acceptable only if there are none.
func TestReadTruncatedFile(t *testing.T) {
	var b bytes.Buffer
	w, err := NewWriter(&b, Header{Start: startTime})
	if err != nil {
		t.Fatal(err)
	}
	var flushedSizes []int
	for i := range 200 {
		q := requestAt(float64(i))
		q.Session = fmt.Sprint("session ", i*7919)
		if err := w.Add(&q); err != nil {
			t.Fatal(err)
		}
		if i%20 == 19 {
			if err := w.Flush(); err != nil {
				t.Fatal(err)
			}
			flushedSizes = append(flushedSizes, b.Len())
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	complete := b.Bytes()
	for size := range complete {
		tr, err := Read(bytes.NewReader(complete[:size]))
		minRequests := 0
		for i, at := range flushedSizes {
			if at <= size {
				minRequests = 20 * (i + 1)
			}
		}
		if err != nil {
			if minRequests > 0 {
				t.Fatalf("truncated at %d of %d: %v, %d requests were flushed", size, len(complete), err, minRequests)
			}
			continue
		}
		if len(tr.Requests) < minRequests || !tr.Truncated && len(tr.Requests) < 200 {
			t.Fatalf("truncated at %d of %d: %d requests, %d were flushed, reported as truncated: %v",
				size, len(complete), len(tr.Requests), minRequests, tr.Truncated)
		}
	}
	if tr := readTrace(t, complete); tr.Truncated || len(tr.Requests) != 200 {
		t.Errorf("whole: %+v", tr)
	}
}

func TestReadRejectsInvalidFiles(t *testing.T) {
	var otherVersion, noClass, longLine bytes.Buffer
	writeSegment(t, &noClass, startTime, Request{Class: "", PromptTokens: 1})
	writeSegment(t, &longLine, startTime,
		Request{Class: "c", PromptTokens: 1, Session: strings.Repeat("x", 2*maxLineBytes)})
	w, _ := NewWriter(&otherVersion, Header{Start: startTime})
	_ = w.encoder.Encode(map[string]int{"trace": 9})
	w.Close()
	for _, c := range []struct {
		name string
		file []byte
		want error // that the error wraps
	}{
		{"nothing", nil, io.EOF},
		{"text", []byte("hello\n"), zstd.ErrMagicMismatch},
		{"another version", otherVersion.Bytes(), VersionError{9}},
		{"no class", noClass.Bytes(), ErrInvalidRequest},
		{"long line", longLine.Bytes(), ErrLongLine},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Read(bytes.NewReader(c.file)); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

func TestFromLogReadsAnswers(t *testing.T) {
	log := `starting up
{"level":"info","ts":"2026-11-02T06:00:01.5Z","msg":"serving","listen":"x"}
{"level":"info","ts":"2026-11-02T06:00:02.5Z","msg":"answer served","front":"front-1","class":"order",` +
		`"status":0,"prompt_tokens":120,"first_token":"200ms","took":"500ms","attempts":[],"tenant":"north",` +
		`"session":"ab","prefix":"cd","prefix_tokens":40,"max_out":90,"events":31,"stream":true}
{"level":"info","ts":"2026-11-02T06:00:03Z","msg":"answer refused","front":"front-1","class":"order",` +
		`"prompt_tokens":10,"first_token":"0s","took":"10ms","tenant":"north","session":"0","events":0,"stream":false}
`
	var b bytes.Buffer
	n, skipped, err := FromLog(strings.NewReader(log), &b)
	if err != nil || n != 2 || skipped != 2 {
		t.Fatalf("%d %d %v", n, skipped, err)
	}
	tr := readTrace(t, b.Bytes())
	want := Request{
		At: 0, Class: "order", Tenant: "north", Session: "ab", Prefix: "cd", PromptTokens: 120, PrefixTokens: 40,
		MaxAnswerTokens: 90, AnswerTokens: 31, Stream: true,
		Result: "served", FirstToken: 200 * time.Millisecond, Duration: 500 * time.Millisecond,
	}
	if tr.Requests[0] != want || tr.Requests[1].At != 990*time.Millisecond || tr.Requests[1].Result != "refused" ||
		!tr.Start.Equal(startTime.Add(2*time.Second)) {
		t.Errorf("%+v", tr)
	}
	if _, _, err := FromLog(strings.NewReader("nothing\n"), &b); !errors.Is(err, ErrNoAnswers) {
		t.Errorf("a log without answers: %v", err)
	}
	invalid := strings.Replace(log, `"took":"500ms"`, `"took":"soon"`, 1)
	_, _, err = FromLog(strings.NewReader(invalid), &b)
	var field *FieldError
	if !errors.As(err, &field) || field.Line != 3 || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("an invalid time: %v", err)
	}
}

const syntheticXML = `<day length="60s" rate="40/s" fronts="2" seed="3">
  <service max-attempts="3" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="1s"
    overload-factor="4" tip-after="2s" cancel="true"/>
  <engines kind="r" role="reader" count="2" slots="4" queue="8" memory="100000tokens" read-rate="20000/s"/>
  <engines kind="w" role="writer" count="3" slots="16" queue="8" memory="100000tokens" read-rate="5000/s"
    step="10ms" fetch-rate="250000/s"/>
  <class name="a" effect="safe" share="0.6" aim="1s" deadline="5s" prompt="200tokens" beginning="800tokens"
    beginning-share="0.7" answer="30tokens" turns="2.5"/>
  <class name="b" effect="unsafe" share="0.4" aim="1s" deadline="5s" prompt="500tokens" answer="15tokens"
    not-streamed-part="0.5"/></day>`

// recordSynthetic returns the scenario of syntheticXML and a recording of its clients, as a replica would make it.
func recordSynthetic(t *testing.T) (*scenario.Scenario, *Trace) {
	t.Helper()
	sc, err := scenario.Parse("synthetic.xml", []byte(syntheticXML))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	w, err := NewWriter(&b, Header{Start: startTime})
	if err != nil {
		t.Fatal(err)
	}
	var requests []Request
	a, normal, now := sc.Arrivals(), scenario.NormalConditions(), time.Duration(0)
	for now < sc.Length {
		now += a.NextGap(&normal)
		s := a.NextSession(&normal)
		for at := now; ; {
			bytes, prefix := s.PromptBytes()
			q := Request{
				At: at, Class: sc.Classes[s.Class].Name, Session: s.Key, PromptTokens: float64(bytes) / 4,
				PrefixTokens: float64(prefix) / 4, AnswerTokens: s.AnswerTokens, Stream: s.Stream, Result: "served",
			}
			if prefix > 0 {
				q.Prefix = fmt.Sprint(s.Prefix.Seed)
			}
			requests = append(requests, q)
			more, pause := s.NextTurn("served", false, &normal)
			if !more {
				break
			}
			at += pause
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range requests {
		if err := w.Add(&requests[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return sc, readTrace(t, b.Bytes())
}

// Fitting a recording of synthetic clients yields their parameters. Prompts with another distribution of lengths are
// reported as a poor fit.
func TestFitRecoversSyntheticParameters(t *testing.T) {
	sc, tr := recordSynthetic(t)
	f, err := Fit(tr)
	if err != nil {
		t.Fatal(err)
	}
	checkNear := func(name string, got, want, tolerance float64) {
		if math.Abs(got-want) > tolerance*want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	checkNear("rate", f.Rate, 40, 0.15)
	for i, c := range f.Classes {
		k := sc.Classes[i]
		checkNear(c.Name+" share", c.Share, k.Share, 0.1)
		checkNear(c.Name+" turns", c.Turns, k.Turns, 0.12)
		checkNear(c.Name+" prompt", c.PromptTokens, float64(k.PromptTokens), 0.1)
		checkNear(c.Name+" answer", c.AnswerTokens, float64(k.AnswerTokens), 0.1)
		if c.PromptDistance > 0.12 || c.AnswerDistance > 0.12 {
			t.Errorf("%s: distances of %v and %v", c.Name, c.PromptDistance, c.AnswerDistance)
		}
	}
	checkNear("prefix", f.Classes[0].PrefixTokens, 800, 0.05)
	checkNear("shared", f.Classes[0].PrefixShare, 0.7, 0.1)
	checkNear("not streamed", f.Classes[1].NotStreamedFraction, 0.5, 0.15)
	for i := range tr.Requests {
		tr.Requests[i].PromptTokens *= math.Exp(2 * math.Sin(float64(i)))
	}
	if f, _ = Fit(tr); f.Classes[1].PromptDistance < 0.15 {
		t.Errorf("prompts with a long tail have a distance of only %v", f.Classes[1].PromptDistance)
	}
	var text bytes.Buffer
	if f.WriteText(&text) != nil || !strings.Contains(text.String(), `class name="b"`) {
		t.Errorf("%s", text.String())
	}
	if _, err := Fit(&Trace{Requests: tr.Requests[:5]}); err == nil {
		t.Error("five requests were fitted")
	}
}

// A replay contains every request recorded within the length of the scenario, and keeps the rules of the audit. Merge
// with scale 3 triples a recording; with scales 1 and 0.5 it merges one recording with about half of another.
func TestReplayAndMergeRequestCounts(t *testing.T) {
	sc, tr := recordSynthetic(t)
	recorded, err := tr.RecordedRequests(sc)
	if err != nil {
		t.Fatal(err)
	}
	replayedRequests := func(recorded []scenario.RecordedRequest) int {
		r, err := fleet.Run(sc, fleet.Options{Traffic: recorded, Audit: true})
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		classes, _ := r.Score.Rows()
		for _, c := range classes {
			n += c.Requests
		}
		for _, v := range r.Rules {
			if len(v.Violations) > 0 {
				t.Errorf("%s: %.200v", v.Rule, v.Violations)
			}
		}
		return n
	}
	wantRequests := 0
	for _, q := range recorded {
		if q.At <= sc.Length {
			wantRequests++
		}
	}
	if n := replayedRequests(recorded); n != wantRequests {
		t.Errorf("%d requests were replayed, %d were recorded within the length of the scenario", n, wantRequests)
	}
	tripled := scenario.Merge(1, [][]scenario.RecordedRequest{recorded}, []float64{3})
	sc.Length = tripled[len(tripled)-1].At
	if n := replayedRequests(tripled); n != 3*len(recorded) {
		t.Errorf("three times: %d of %d", n, 3*len(recorded))
	}
	merged := scenario.Merge(1, [][]scenario.RecordedRequest{recorded, recorded}, []float64{1, 0.5})
	if n := float64(len(merged)) / float64(len(recorded)); n < 1.4 || n > 1.6 {
		t.Errorf("one and a half: %v", n)
	}
	tr.Requests[3].Class = "unknown"
	_, err = tr.RecordedRequests(sc)
	var name *UnknownNameError
	if !errors.As(err, &name) || name.Name != "unknown" || !strings.Contains(err.Error(), "unknown") {
		t.Errorf("an unknown class: %v", err)
	}
}
