package trace

import (
	"fmt"
	"slices"

	"brackenbend/internal/simulation/scenario"
)

// A NameError is returned for a recorded request whose class or tenant a scenario does not have.
type NameError struct {
	Request int    // counted from 1
	What    string // class or tenant
	Name    string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("trace: request %d is of the %s %q, the day has no such <%s>", e.Request, e.What, e.Name, e.What)
}

// Recorded returns the requests in terms of a scenario; classes and tenants are matched by name.
func (t *Trace) Recorded(s *scenario.Scenario) ([]scenario.RecordedRequest, error) {
	requests := make([]scenario.RecordedRequest, 0, len(t.Requests))
	for i, r := range t.Requests {
		class := slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == r.Class })
		if class < 0 {
			return nil, &NameError{i + 1, "class", r.Class}
		}
		tenant := slices.IndexFunc(s.Tenants, func(x scenario.Tenant) bool { return x.Name == r.Tenant })
		if tenant < 0 && len(s.Tenants) > 0 {
			return nil, &NameError{i + 1, "tenant", r.Tenant}
		}
		out := r.Out
		if out == 0 { // rejected or failed: how long its answer would have been is not known
			out = max(int(s.Classes[class].AnswerTokens), 1)
		}
		requests = append(requests, scenario.RecordedRequest{
			At: r.At, Class: class, Tenant: tenant, Session: r.Session, Prefix: r.Prefix, Prompt: r.Prompt,
			PrefixLen: min(r.PrefixLen, r.Prompt), Out: out, Stream: r.Stream,
		})
	}
	return requests, nil
}
