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

var begin = time.Date(2026, 11, 2, 6, 0, 0, 0, time.UTC)

func writePart(t *testing.T, w *bytes.Buffer, from time.Time, requests ...Request) {
	t.Helper()
	p, err := NewWriter(w, Header{Begin: from, Source: "front-1"})
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
		At: time.Duration(seconds * float64(time.Second)), Class: "c", Prompt: 100, Took: 100 * time.Millisecond,
		Result: "served", Out: 5,
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

// A replica that was restarted, a night without requests, and a clock that was set back.
func TestReadPartsGapsAndSteps(t *testing.T) {
	var b bytes.Buffer
	writePart(t, &b, begin, requestAt(0), requestAt(1), requestAt(2), requestAt(3))
	writePart(t, &b, begin.Add(10*time.Second), requestAt(0), requestAt(1))
	tr := readTrace(t, b.Bytes())
	if tr.Parts != 2 || len(tr.Requests) != 6 || tr.Requests[4].At != 10*time.Second || tr.Steps != 0 ||
		len(tr.Gaps) != 0 {
		t.Errorf("%+v", tr)
	}
	writePart(t, &b, begin.Add(10*time.Hour), requestAt(0), requestAt(1))
	tr = readTrace(t, b.Bytes())
	if len(tr.Gaps) != 1 || tr.Gaps[0].To != 10*time.Hour || len(tr.Notes()) != 1 {
		t.Errorf("%+v", tr.Gaps)
	}
	tr.CloseGaps()
	if tr.Length() > time.Minute || len(tr.Gaps) != 0 {
		t.Errorf("closed: %v", tr.Length())
	}
	b.Reset()
	// The clock is set back by 15 s after the third.
	back := []Request{requestAt(0), requestAt(10), requestAt(20), requestAt(5), requestAt(6)}
	writePart(t, &b, begin, back...)
	writePart(t, &b, begin.Add(-time.Hour), requestAt(0))
	tr = readTrace(t, b.Bytes())
	if tr.Steps != 2 || tr.Length() < 20*time.Second || tr.Length() > time.Minute ||
		tr.Requests[4].At-tr.Requests[3].At != time.Second {
		t.Errorf("%d steps over %v: %+v", tr.Steps, tr.Length(), tr.Requests)
	}
	// Requests end out of the order in which they began; that is no step.
	b.Reset()
	long := requestAt(0)
	long.Took = 20 * time.Second
	writePart(t, &b, begin, requestAt(1), requestAt(5), long, requestAt(21))
	if tr = readTrace(t, b.Bytes()); tr.Steps != 0 || tr.Requests[0].Took != 20*time.Second {
		t.Errorf("%+v", tr)
	}
}

// Of a file that is cut at any byte, what was flushed before is read; it is an error where not even the header is.
func TestReadTornFile(t *testing.T) {
	var b bytes.Buffer
	w, err := NewWriter(&b, Header{Begin: begin})
	if err != nil {
		t.Fatal(err)
	}
	var flushed []int
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
			flushed = append(flushed, b.Len())
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	whole := b.Bytes()
	for cut := range whole {
		tr, err := Read(bytes.NewReader(whole[:cut]))
		least := 0
		for i, at := range flushed {
			if at <= cut {
				least = 20 * (i + 1)
			}
		}
		if err != nil {
			if least > 0 {
				t.Fatalf("cut at %d of %d: %v, %d requests were flushed", cut, len(whole), err, least)
			}
			continue
		}
		if len(tr.Requests) < least || !tr.Torn && len(tr.Requests) < 200 {
			t.Fatalf("cut at %d of %d: %d requests, %d were flushed, torn %v",
				cut, len(whole), len(tr.Requests), least, tr.Torn)
		}
	}
	if tr := readTrace(t, whole); tr.Torn || len(tr.Requests) != 200 {
		t.Errorf("whole: %+v", tr)
	}
}

func TestReadRejectsInvalidFiles(t *testing.T) {
	var other, bad, line bytes.Buffer
	writePart(t, &bad, begin, Request{Class: "", Prompt: 1})
	writePart(t, &line, begin, Request{Class: "c", Prompt: 1, Session: strings.Repeat("x", 2*maxLine)})
	w, _ := NewWriter(&other, Header{Begin: begin})
	_ = w.encoder.Encode(map[string]int{"trace": 9})
	w.Close()
	for _, c := range []struct {
		name string
		file []byte
		want error // that the error wraps
	}{
		{"nothing", nil, io.EOF},
		{"text", []byte("hello\n"), zstd.ErrMagicMismatch},
		{"another version", other.Bytes(), VersionError{9}},
		{"no class", bad.Bytes(), ErrNoRequest},
		{"long line", line.Bytes(), ErrLongLine},
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
		At: 0, Class: "order", Tenant: "north", Session: "ab", Prefix: "cd", Prompt: 120, PrefixLen: 40,
		MaxOut: 90, Out: 31, Stream: true,
		Result: "served", First: 200 * time.Millisecond, Took: 500 * time.Millisecond,
	}
	if tr.Requests[0] != want || tr.Requests[1].At != 990*time.Millisecond || tr.Requests[1].Result != "refused" ||
		!tr.Begin.Equal(begin.Add(2*time.Second)) {
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

// recordSynthetic returns what a replica would have recorded of the clients of syntheticXML.
func recordSynthetic(t *testing.T) (*scenario.Scenario, *Trace) {
	t.Helper()
	sc, err := scenario.Parse("synthetic.xml", []byte(syntheticXML))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	w, err := NewWriter(&b, Header{Begin: begin})
	if err != nil {
		t.Fatal(err)
	}
	var all []Request
	a, normal, now := sc.Arrivals(), scenario.NormalConditions(), time.Duration(0)
	for now < sc.Length {
		now += a.Gap(&normal)
		s := a.Next(&normal)
		for at := now; ; {
			bytes, prefix := s.PromptBytes()
			q := Request{
				At: at, Class: sc.Classes[s.Class].Name, Session: s.Key, Prompt: float64(bytes) / 4,
				PrefixLen: float64(prefix) / 4, Out: s.Answer, Stream: s.Stream, Result: "served",
			}
			if prefix > 0 {
				q.Prefix = fmt.Sprint(s.Prefix.Seed)
			}
			all = append(all, q)
			more, pause := s.NextTurn("served", false, &normal)
			if !more {
				break
			}
			at += pause
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		if err := w.Add(&all[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return sc, readTrace(t, b.Bytes())
}

// A recording of synthetic clients gives their figures back, and others are shown not to fit.
func TestFitFindsSyntheticFigures(t *testing.T) {
	sc, tr := recordSynthetic(t)
	f, err := Fit(tr)
	if err != nil {
		t.Fatal(err)
	}
	near := func(what string, got, want, by float64) {
		if math.Abs(got-want) > by*want {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	near("rate", f.Rate, 40, 0.15)
	for i, c := range f.Classes {
		k := sc.Classes[i]
		near(c.Name+" share", c.Share, k.Share, 0.1)
		near(c.Name+" turns", c.Turns, k.Turns, 0.12)
		near(c.Name+" prompt", c.Prompt, float64(k.PromptTokens), 0.1)
		near(c.Name+" answer", c.Answer, float64(k.AnswerTokens), 0.1)
		if c.PromptOff > 0.12 || c.AnswerOff > 0.12 {
			t.Errorf("%s: off by %v and %v", c.Name, c.PromptOff, c.AnswerOff)
		}
	}
	near("prefix", f.Classes[0].PrefixTokens, 800, 0.05)
	near("shared", f.Classes[0].PrefixShare, 0.7, 0.1)
	near("not streamed", f.Classes[1].NotStreamedPart, 0.5, 0.15)
	for i := range tr.Requests {
		tr.Requests[i].Prompt *= math.Exp(2 * math.Sin(float64(i)))
	}
	if f, _ = Fit(tr); f.Classes[1].PromptOff < 0.15 {
		t.Errorf("long tails fit: %v", f.Classes[1].PromptOff)
	}
	var text bytes.Buffer
	if f.WriteText(&text) != nil || !strings.Contains(text.String(), `class name="b"`) {
		t.Errorf("%s", text.String())
	}
	if _, err := Fit(&Trace{Requests: tr.Requests[:5]}); err == nil {
		t.Error("five requests were fitted")
	}
}

// Recorded requests are played as they came, three times as many on demand, and two recordings together.
func TestReplayPlaysEveryRequest(t *testing.T) {
	sc, tr := recordSynthetic(t)
	list, err := tr.Recorded(sc)
	if err != nil {
		t.Fatal(err)
	}
	count := func(list []scenario.RecordedRequest) int {
		r, err := fleet.Run(sc, fleet.Options{Traffic: list, Audit: true})
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
	within := 0
	for _, q := range list {
		if q.At <= sc.Length {
			within++
		}
	}
	if n := count(list); n != within {
		t.Errorf("%d requests were played, %d recorded in the scenario's time", n, within)
	}
	three := scenario.Blend(1, [][]scenario.RecordedRequest{list}, []float64{3})
	sc.Length = three[len(three)-1].At
	if n := count(three); n != 3*len(list) {
		t.Errorf("three times: %d of %d", n, 3*len(list))
	}
	half := scenario.Blend(1, [][]scenario.RecordedRequest{list, list}, []float64{1, 0.5})
	if n := float64(len(half)) / float64(len(list)); n < 1.4 || n > 1.6 {
		t.Errorf("one and a half: %v", n)
	}
	tr.Requests[3].Class = "unknown"
	_, err = tr.Recorded(sc)
	var name *NameError
	if !errors.As(err, &name) || name.Name != "unknown" || !strings.Contains(err.Error(), "unknown") {
		t.Errorf("an unknown class: %v", err)
	}
}
