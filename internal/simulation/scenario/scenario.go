// Package scenario is what a scripted day says: the fleet, its clients, and the list of things that go wrong. It reads and
// checks day files, makes fronts' settings of them, draws what clients do and scores what comes of it. It plays nothing:
// internal/day plays it on sockets, internal/lab/fleet in simulated time, both with the same draws.
package scenario

import (
	"bytes"
	"cmp"
	"embed"
	"encoding/xml"
	"errors"
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"brackenbend/internal/config"
	"brackenbend/roles"
)

// Scenario is a scripted day.
type Scenario struct {
	config.Pos
	Length         time.Duration `cfg:"length,required"`
	Rate           config.Rate   `cfg:"rate,required"` // sessions' first requests and further turns together, a second
	Seed           int           `cfg:"seed"`
	Replicas       int           `cfg:"fronts,required"`
	EngineProtocol string        `cfg:"dialect,enum=vllm|extended"` // of the engines; none = extended
	Service        *Service      `cfg:"service,required"`
	Planner        *Planner      `cfg:"planner"` // of engines that change role; none = roles stay
	Kinds          []Kind        `cfg:"engines,required"`
	Classes        []Class       `cfg:"class,required"`
	Tenants        []Tenant      `cfg:"tenant"`
	Faults         []Fault       `cfg:"happen"`
	Expected       *Expected     `cfg:"expect"`

	text []byte // that it was read from
}

// Service is what fronts and auditor are told.
type Service struct {
	config.Pos
	MaxAttempts      int           `cfg:"max-attempts"`
	StateTTL         time.Duration `cfg:"release-within,required"`
	DrainGrace       time.Duration `cfg:"drain-grace,required"`
	SlowStartFrom    float64       `cfg:"cold-from"`
	SlowStartFor     time.Duration `cfg:"cold-for"`
	OverloadFactor   float64       `cfg:"overload-factor"`
	OverloadAfter    time.Duration `cfg:"tip-after"`
	DecodeCanPrefill bool          `cfg:"writers-read"`
	CanCancel        bool          `cfg:"cancel"`
	ClientRetries    int           `cfg:"client-retries"`
}

// Planner shares out engines of kinds that shift.
type Planner struct {
	config.Pos
	Count         int           `cfg:"count"` // planners at once; 0 = 1
	Interval      time.Duration `cfg:"every"`
	MinDwell      time.Duration `cfg:"min-stay"`
	MaxConcurrent float64       `cfg:"at-once"`
	ChangeTime    time.Duration `cfg:"change-time"`
	WarmUp        time.Duration `cfg:"warm"`
	ChangeTimeout time.Duration `cfg:"turn-time"`
	SwitchTime    time.Duration `cfg:"switch"` // of an empty engine; 0 = 1 s
}

// Settings are the planner's.
func (p *Planner) Settings() roles.Config {
	return roles.Config{MinDwell: p.MinDwell, MaxConcurrent: p.MaxConcurrent, ChangeTime: p.ChangeTime, WarmUp: p.WarmUp, ChangeTimeout: p.ChangeTimeout}
}

// Kind is a group of engines that are alike.
type Kind struct {
	config.Pos
	Name        string        `cfg:"kind,required"`
	ChangesRole bool          `cfg:"shifts"` // they may take the role of the other kind that shifts
	Role        string        `cfg:"role,required,enum=reader|writer|mixed"`
	Count       int           `cfg:"count,required"`
	Slots       int           `cfg:"slots,required"`
	Queue       int           `cfg:"queue,required"`
	Memory      config.Tokens `cfg:"memory,required"`
	ReadRate    config.Rate   `cfg:"read-rate"` // prompt tokens
	Step        time.Duration `cfg:"step"`
	PerStream   time.Duration `cfg:"step-per-stream"`
	FetchRate   config.Rate   `cfg:"fetch-rate"` // state tokens
}

// Class is a class of requests.
type Class struct {
	config.Pos
	Name                    string        `cfg:"name,required"`
	Idempotency             string        `cfg:"effect,required,enum=safe|keyed|unsafe"`
	Share                   float64       `cfg:"share,required"`
	LatencyObjective        time.Duration `cfg:"aim,required"`
	LatencyObjectivePer1000 time.Duration `cfg:"aim-per-1000-tokens"`
	Deadline                time.Duration `cfg:"deadline,required"`
	DedupWindow             time.Duration `cfg:"window"`
	PriorityWeight          float64       `cfg:"worth"`
	LateWeight              float64       `cfg:"late-worth"`
	PromptTokens            config.Tokens `cfg:"prompt,required"`   // of a turn, on average
	PrefixTokens            config.Tokens `cfg:"beginning"`         // shared
	PrefixShare             float64       `cfg:"beginning-share"`   // part that begins with one of a few shared texts
	AnswerTokens            config.Tokens `cfg:"answer,required"`   // on average
	Turns                   float64       `cfg:"turns"`             // of a session, on average
	NotStreamedPart         float64       `cfg:"not-streamed-part"` // of clients that want the answer whole
}

// Tenant is a customer.
type Tenant struct {
	config.Pos
	Name  string      `cfg:"name,required"`
	Share float64     `cfg:"share,required"`
	Quota config.Rate `cfg:"quota"`
}

// Fault is something that goes wrong, or changes, for a while.
type Fault struct {
	config.Pos
	At     time.Duration `cfg:"at,required"`
	For    time.Duration `cfg:"for"`
	What   string        `cfg:"what,required,enum=front-kill|front-stop|crash|fail-fast|fail-class|stall|slow|refuse-connects|reset-mid-stream|reset-after-request|reset-after-effect|fail-after-effect|stall-after-effect|forget|silent-restart|drain|remove|register-cut|register-late|register-flap|register-compact|register-stale|reports-frozen|reports-none|surge|overlong|hot-prefix|hang-ups|slow-readers|mix|planner-stop|role-force|liar"`
	Kind   string        `cfg:"kind"`   // of engines; none = any
	Class  string        `cfg:"class"`  // for fail-class, overlong and mix
	Count  int           `cfg:"count"`  // of engines or fronts; 0 = 1
	Part   float64       `cfg:"part"`   // of engines, or of requests
	Factor float64       `cfg:"factor"` // for slow, surge, overlong, and mix: times the share of the class
	Late   time.Duration `cfg:"late"`   // for register-late
}

// Expected bounds what a day must reach; rules must hold always.
type Expected struct {
	config.Pos
	Service float64 `cfg:"service"`
}

//go:embed bad.xml
var builtin embed.FS

// Default is the bad day that the program carries.
func Default() (*Scenario, error) {
	text, err := builtin.ReadFile("bad.xml")
	if err != nil {
		return nil, err
	}
	return Parse("bad.xml", text)
}

// Load reads a day file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a day; the error is config.Problems.
func Parse(file string, text []byte) (*Scenario, error) {
	d := &Scenario{}
	if err := config.Decode(file, text, "day", d, d.check); err != nil {
		return nil, err
	}
	d.text = text
	if d.EngineProtocol == "" {
		d.EngineProtocol = "extended"
	}
	for i := range d.Classes {
		c := &d.Classes[i]
		c.PriorityWeight, c.Turns = cmp.Or(c.PriorityWeight, 1), cmp.Or(c.Turns, 1)
	}
	return d, nil
}

func (d *Scenario) check(report config.Reporter) {
	if d.Length < time.Second || d.Length > time.Hour {
		report(d.Pos, "write 1s to 1h", "a day of %v", d.Length)
	}
	if d.Rate <= 0 || d.Rate > 5000 {
		report(d.Pos, "write a rate up to 5000/s", "a rate of %v/s", d.Rate)
	}
	if d.Replicas < 1 || d.Replicas > mostFronts {
		report(d.Pos, fmt.Sprintf("write 1 to %d", mostFronts), "%d fronts", d.Replicas)
	}
	engines, share := 0, 0.0
	reads, writes := false, false
	for _, k := range d.Kinds {
		engines += k.Count
		reads, writes = reads || k.Role != "writer", writes || k.Role != "reader"
		if k.Role != "writer" && k.ReadRate == 0 {
			report(k.Pos, `add read-rate="20000/s"`, "<engines kind=%q> read at no rate", k.Name)
		}
		if k.Role != "reader" && (k.Step == 0 || k.FetchRate == 0) {
			report(k.Pos, `add step="20ms" and fetch-rate="200000/s"`, "<engines kind=%q> write without step or fetch-rate", k.Name)
		}
	}
	shifting := map[string]int{}
	for _, k := range d.Kinds {
		if k.ChangesRole {
			shifting[k.Role]++
		}
	}
	if len(shifting) > 0 && (shifting["reader"] != 1 || shifting["writer"] != 1 || len(shifting) != 2) {
		report(d.Pos, `give shifts="true" to one kind with role="reader" and one with role="writer"`, "kinds that shift: %v", shifting)
	}
	if d.Planner != nil && len(shifting) == 0 {
		report(d.Planner.Pos, `add shifts="true" to the kinds whose engines may change role`, "a <planner> and no kind that shifts")
	}
	if d.Planner != nil {
		if err := d.Planner.Settings().Validate(); err != nil {
			report(d.Planner.Pos, "correct the figure", "%v", err)
		}
		if d.Planner.Count < 0 || d.Planner.Count > 8 {
			report(d.Planner.Pos, "write 1 to 8", "%d planners", d.Planner.Count)
		}
	}
	if engines > mostEngines {
		report(d.Pos, "lower the counts", "%d engines, %d at most", engines, mostEngines)
	}
	if !reads || !writes {
		report(d.Pos, "add engines of the missing role", "nothing reads, or nothing writes")
	}
	for _, c := range d.Classes {
		share += c.Share
		if (c.Idempotency == "keyed") != (c.DedupWindow > 0) {
			report(c.Pos, `give window with effect="keyed", and only there`, "<class name=%q>: effect %s with a window of %v", c.Name, c.Idempotency, c.DedupWindow)
		}
	}
	if len(d.Classes) > 0 && math.Abs(share-1) > 1e-6 {
		report(d.Pos, "let the classes' shares add up to 1", "they add up to %v", share)
	}
	for _, h := range d.Faults {
		if h.At+h.For > d.Length {
			report(h.Pos, "begin earlier, or make the day longer", "<happen what=%q> ends after the day", h.What)
		}
		if h.Kind != "" && !slices.ContainsFunc(d.Kinds, func(k Kind) bool { return k.Name == h.Kind }) {
			report(h.Pos, "name a kind of <engines>", "<happen kind=%q>: no such kind", h.Kind)
		}
		if h.Class != "" && !slices.ContainsFunc(d.Classes, func(c Class) bool { return c.Name == h.Class }) {
			report(h.Pos, "name a <class>", "<happen class=%q>: no such class", h.Class)
		}
	}
}

var happenLine = regexp.MustCompile(`[ \t]*<happen\s[^>]*/>[ \t]*\n?`)

// WithFaults is the day with other happenings, and the text of its file. A bound on service goes, since it was the other day's.
func (d *Scenario) WithFaults(happens []Fault, note string) (*Scenario, []byte, error) {
	text := happenLine.ReplaceAll(d.text, nil)
	text = expectLine.ReplaceAll(text, nil)
	end := bytes.LastIndex(text, []byte("</day>"))
	if end < 0 {
		return nil, nil, errors.New("scene: the day's file has no </day>")
	}
	var b bytes.Buffer
	b.Write(text[:end])
	if note != "" {
		fmt.Fprintf(&b, "  <!-- %s -->\n", strings.ReplaceAll(note, "--", "- -"))
	}
	for i := range happens {
		b.WriteString("  " + happens[i].XML() + "\n")
	}
	b.Write(text[end:])
	other, err := Parse("day.xml", b.Bytes())
	return other, b.Bytes(), err
}

var expectLine = regexp.MustCompile(`[ \t]*<expect\s[^>]*/>[ \t]*\n?`)

// XML is the happening as it stands in a day file.
func (h *Fault) XML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "<happen at=%q what=%q", plainTime(h.At), h.What)
	add := func(name, v string, is bool) {
		if is {
			b.WriteString(" " + name + `="`)
			_ = xml.EscapeText(&b, []byte(v))
			b.WriteString(`"`)
		}
	}
	add("kind", h.Kind, h.Kind != "")
	add("class", h.Class, h.Class != "")
	add("count", strconv.Itoa(h.Count), h.Count != 0)
	add("part", strconv.FormatFloat(h.Part, 'f', -1, 64), h.Part != 0)
	add("factor", strconv.FormatFloat(h.Factor, 'f', -1, 64), h.Factor != 0)
	add("late", plainTime(h.Late), h.Late != 0)
	add("for", plainTime(h.For), h.For != 0)
	return b.String() + "/>"
}

// plainTime writes a time with one unit, as settings take it.
func plainTime(d time.Duration) string {
	if d%time.Second == 0 {
		return strconv.FormatInt(int64(d/time.Second), 10) + "s"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// Bounds of a day in simulated time; on sockets they are narrower, see OnSockets.
const (
	mostFronts  = 10000
	mostEngines = 5000
)

// Engines is the number of engines.
func (d *Scenario) Engines() (n int) {
	for _, k := range d.Kinds {
		n += k.Count
	}
	return n
}

// CheckRunnable tells why the day can't be played on one machine's sockets; nil where it can.
func (d *Scenario) CheckRunnable() error {
	switch {
	case d.Replicas > 32:
		return fmt.Errorf("day: %d fronts, 32 at most on sockets", d.Replicas)
	case d.Engines() > 200:
		return fmt.Errorf("day: %d engines, 200 at most on sockets", d.Engines())
	case d.Rate > 1000:
		return fmt.Errorf("day: %v requests a second, 1000 at most on sockets", float64(d.Rate))
	}
	return nil
}

// Replication is the day with the clients of its n-th course, from 1; ways of running a fleet are compared on the same courses.
func (d *Scenario) Replication(n int) *Scenario {
	c := *d
	c.Seed += 1000 * n
	return &c
}

// Scale makes the day last so long, everything in it in proportion.
func (d *Scenario) Scale(length time.Duration) error {
	if length < time.Second || length > time.Hour {
		return fmt.Errorf("day: a length of %v; 1s to 1h", length)
	}
	f := float64(length) / float64(d.Length)
	d.Length = length
	for i := range d.Faults {
		h := &d.Faults[i]
		h.At, h.For = time.Duration(float64(h.At)*f), time.Duration(float64(h.For)*f)
	}
	return nil
}
