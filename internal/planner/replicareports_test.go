package planner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// reportPolicy sends the age of each report of a replica that it is given.
type reportPolicy struct{ ages chan time.Duration }

func (p reportPolicy) Step(now time.Duration, _ []roles.Engine, replicas []roles.Replica) roles.Plan {
	for _, replica := range replicas {
		select {
		case p.ages <- now - replica.Report.At:
		default:
		}
	}
	return roles.Plan{}
}

// TestReplicaReportsAreNotInTheFuture: the clock of a round was read before the replicas were polled, so their reports
// lay some milliseconds in the round's future, and the planner takes no report of the future: lost work never counted.
func TestReplicaReportsAreNotInTheFuture(t *testing.T) {
	const pollTime = 20 * time.Millisecond
	replica := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(pollTime) }))
	defer replica.Close()
	f := newFleet(t, roles.Prefill, roles.Decode)
	policy := reportPolicy{make(chan time.Duration, 10)}
	r := &planner.Runner{
		APIServer: f.client, Settings: roles.Config{}, Interval: time.Second, Log: zap.NewNop(), Policy: policy,
		Replicas: []string{strings.TrimPrefix(replica.URL, "http://")},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := r.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	select {
	case age := <-policy.ages:
		if age < 0 {
			t.Errorf("the round takes a report of %v in its future", -age)
		}
	case <-time.After(eventuallyTimeout):
		t.Error("no report of a replica")
	}
	cancel()
	<-done
}
