package scenariorun

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/simulation/scenario"
)

// Report is what came of a day.
type Report struct {
	Seconds  float64            `json:"seconds"`
	LagMS    float64            `json:"worst_lag_ms"` // of this process; slack of the rules that compare two sockets' times
	Service  float64            `json:"service"`      // worth served over worth asked
	Classes  []scenario.Row     `json:"classes"`
	Tenants  []scenario.Row     `json:"tenants"`
	Attempts map[string]int     `json:"attempts"` // as the engines saw them
	Rules    []audit.RuleResult `json:"rules"`
	Expected float64            `json:"expected_service,omitempty"`
	Roles    []RoleSample       `json:"roles,omitempty"` // where engines change role
	Timeline []scenario.Second  `json:"course"`          // by the second of asking
	Events   []audit.Event      `json:"-"`
}

func (r *run) report(t *traffic, lag time.Duration) *Report {
	rep := &Report{Seconds: r.d.Length.Seconds(), LagMS: float64(lag.Microseconds()) / 1000, Attempts: map[string]int{}, Events: r.rec.Events()}
	rep.Timeline, rep.Service = t.score.Timeline, t.score.Service()
	rep.Classes, rep.Tenants = t.score.Rows()
	for _, e := range rep.Events {
		switch {
		case e.Kind == audit.Arrived && e.Decode:
			rep.Attempts["write"]++
		case e.Kind == audit.Arrived:
			rep.Attempts["read"]++
		case e.Kind == audit.Executed:
			rep.Attempts["ran"]++
		case e.Kind == audit.Deduplicated:
			rep.Attempts["repeat dropped"]++
		}
	}
	rep.Rules = audit.Check(rep.Events, audit.Limits{DrainGrace: r.d.Service.DrainGrace, StateTTL: r.d.Service.StateTTL, Slack: 50*time.Millisecond + 2*lag})
	r.mu.Lock()
	rep.Rules[0].Violations = append(rep.Rules[0].Violations, r.deaths...)
	r.mu.Unlock()
	if r.planners != nil {
		rep.Roles = r.planners.seen
	}
	if r.d.Expected != nil {
		rep.Expected = r.d.Expected.Service
	}
	return rep
}

// Violations is the number of rules broken, counting one that was never checked and a service below what the day
// expects.
func (r *Report) Violations() int {
	n := 0
	for _, v := range r.Rules {
		n += len(v.Violations)
		if v.Checks == 0 {
			n++
		}
	}
	if r.Service < r.Expected {
		n++
	}
	return n
}

// WriteText prints the report for people.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "\nservice %.3f over %.0f s\n\n", r.Service, r.Seconds)
	head := "%-12s %8s %7s %7s %5s %8s %7s %7s %5s %5s %6s %9s %9s\n"
	line := "%-12s %8d %7.3f %7d %5d %8d %7d %7d %5d %5d %6d %7.0fms %7.0fms\n"
	for i, rows := range [][]scenario.Row{r.Classes, r.Tenants} {
		fmt.Fprintf(w, head, []string{"class", "tenant"}[i], "requests", "service", "served", "late", "refused", "failed", "broken", "left", "lost", "tries", "first p50", "p99")
		for _, c := range rows {
			fmt.Fprintf(w, line, c.Name, c.Requests, c.Service, c.Served, c.Late, c.Refused, c.Failed, c.Broken, c.Left, c.Lost, c.Tries, c.FirstP50, c.FirstP99)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "attempts seen by engines: %d reads, %d writes; %d took effect, %d repeats were dropped\n\n",
		r.Attempts["read"], r.Attempts["write"], r.Attempts["ran"], r.Attempts["repeat dropped"])
	if n := len(r.Roles); n > 0 {
		first, last := r.Roles[0], r.Roles[n-1]
		most := 0
		for _, s := range r.Roles {
			most = max(most, s.Changing)
		}
		fmt.Fprintf(w, "roles: %d readers and %d writers at the start, %d and %d at the end; %d orders, %d on their way at once at most\n\n",
			first.Readers, first.Writers, last.Readers, last.Writers, last.Orders, most)
	}
	fmt.Fprintf(w, "worst scheduling lag of this process %.0f ms; drains and pinned state are judged with 50 ms and twice that to spare\n", r.LagMS)
	for i, v := range r.Rules {
		fmt.Fprintf(w, "rule %d, %s: %d checks, %d breaches", i+1, v.Rule, v.Checks, len(v.Violations))
		if v.WorstCase != "" {
			fmt.Fprintf(w, " (%s)", v.WorstCase)
		}
		fmt.Fprintln(w)
		for j, b := range v.Violations {
			if j == 10 {
				fmt.Fprintf(w, "  ... and %d more\n", len(v.Violations)-10)
				break
			}
			fmt.Fprintf(w, "  %s\n", b)
		}
		if v.Checks == 0 {
			fmt.Fprintln(w, "  never checked: this day proves nothing about it")
		}
	}
	if r.Service < r.Expected {
		fmt.Fprintf(w, "service %.3f is below the %.3f that this day expects\n", r.Service, r.Expected)
	}
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
