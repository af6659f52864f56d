package scenario

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"brackenbend/internal/config"
)

// Fault is a failure, or a change of the traffic, that lasts for a while.
type Fault struct {
	config.Pos
	At       time.Duration `cfg:"at,required"`
	Duration time.Duration `cfg:"for"`
	//nolint:lll // a struct tag can't be split
	Type       string        `cfg:"what,required,enum=front-kill|front-stop|crash|fail-fast|fail-class|stall|slow|refuse-connects|reset-mid-stream|reset-after-request|reset-after-effect|fail-after-effect|stall-after-effect|forget|silent-restart|drain|remove|register-cut|register-late|register-flap|register-compact|register-stale|reports-frozen|reports-none|surge|overlong|hot-prefix|hang-ups|slow-readers|mix|planner-stop|role-force|liar"`
	EngineKind string        `cfg:"kind"`   // of the engines that it affects; "" = any
	Class      string        `cfg:"class"`  // for fail-class, overlong and mix
	Count      int           `cfg:"count"`  // of engines or replicas; 0 = by Fraction, see DrawTargets
	Fraction   float64       `cfg:"part"`   // of the engines, requests or sessions that it affects
	Factor     float64       `cfg:"factor"` // for slow, surge, overlong, and mix (of the class's share)
	EventDelay time.Duration `cfg:"late"`   // for register-late
}

// requestFaults are the engine faults whose Fraction is a fraction of each engine's requests. That of the other engine
// faults is a fraction of the engines.
var requestFaults = []string{
	"fail-fast", "reset-mid-stream", "reset-after-request", "reset-after-effect", "fail-after-effect",
	"stall-after-effect",
}

// DrawTargets draws the candidates that a fault affects. Their number is Count; if Count is 0, it is Fraction of the
// candidates, rounded up, or 1 if there is no Fraction or it applies to requests. DrawTargets reorders the candidates.
func DrawTargets[E any](f *Fault, rnd *rand.Rand, candidates []E) []E {
	n := max(f.Count, 1)
	if f.Count == 0 && f.Fraction > 0 && !slices.Contains(requestFaults, f.Type) {
		n = int(math.Ceil(f.Fraction * float64(len(candidates))))
	}
	rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

var (
	faultElement    = regexp.MustCompile(`[ \t]*<happen\s[^>]*/>[ \t]*\n?`)
	expectedElement = regexp.MustCompile(`[ \t]*<expect\s[^>]*/>[ \t]*\n?`)
)

// ErrNoClosingTag is returned for a file without the closing tag of a scenario.
var ErrNoClosingTag = errors.New("scenario: the file has no </day>")

// WithFaults returns the scenario with other faults, and the text of its file, which has the note as a comment. The
// expected service is left out, since it was set for the original faults.
func (s *Scenario) WithFaults(faults []Fault, comment string) (*Scenario, []byte, error) {
	text := faultElement.ReplaceAll(s.text, nil)
	text = expectedElement.ReplaceAll(text, nil)
	end := bytes.LastIndex(text, []byte("</day>"))
	if end < 0 {
		return nil, nil, ErrNoClosingTag
	}
	var b bytes.Buffer
	b.Write(text[:end])
	if comment != "" {
		fmt.Fprintf(&b, "  <!-- %s -->\n", strings.ReplaceAll(comment, "--", "- -"))
	}
	for i := range faults {
		b.WriteString("  " + faults[i].XML() + "\n")
	}
	b.Write(text[end:])
	other, err := Parse("day.xml", b.Bytes())
	return other, b.Bytes(), err
}

// XML returns the fault as an element of a scenario file.
func (f *Fault) XML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "<happen at=%q what=%q", formatDuration(f.At), f.Type)
	add := func(name, value string, isSet bool) {
		if isSet {
			b.WriteString(" " + name + `="` + escapeXML(value) + `"`)
		}
	}
	add("kind", f.EngineKind, f.EngineKind != "")
	add("class", f.Class, f.Class != "")
	add("count", strconv.Itoa(f.Count), f.Count != 0)
	add("part", strconv.FormatFloat(f.Fraction, 'f', -1, 64), f.Fraction != 0)
	add("factor", strconv.FormatFloat(f.Factor, 'f', -1, 64), f.Factor != 0)
	add("late", formatDuration(f.EventDelay), f.EventDelay != 0)
	add("for", formatDuration(f.Duration), f.Duration != 0)
	return b.String() + "/>"
}

func escapeXML(text string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(text)) // writes to a strings.Builder do not fail
	return b.String()
}

// formatDuration writes a duration as scenario files accept it, in whole seconds or else in milliseconds.
func formatDuration(d time.Duration) string {
	if d%time.Second == 0 {
		return strconv.FormatInt(int64(d/time.Second), 10) + "s"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}
