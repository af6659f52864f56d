package planner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"brackenbend/roles"
)

// pollEngines requests the status of every engine that is up, keeps the answers in r.statuses and returns the time at
// which all polls had ended.
func (r *Runner) pollEngines(ctx context.Context, view View) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout*r.Interval)
	defer cancel()
	var mu sync.Mutex
	statuses := map[string]Status{}
	r.forEachEngine(view, func(id, url string) {
		var status Status
		if err := r.APIServer.do(ctx, http.MethodGet, url, nil, &status); err != nil {
			r.Log.Debug("engine poll failed", zap.String("engine", id), zap.Error(err))
			return
		}
		mu.Lock()
		statuses[id] = status
		mu.Unlock()
	})
	r.statuses = statuses
	return r.now()
}

// sendCommands sends every pending command, also those that were sent before.
func (r *Runner) sendCommands(ctx context.Context, view View, table roles.Assignments) {
	commands := map[string]roles.Command{}
	for _, command := range table.PendingCommands() {
		commands[command.ID] = command
	}
	if len(commands) == 0 {
		return
	}
	r.forEachEngine(view, func(id, url string) {
		command, ok := commands[id]
		if !ok {
			return
		}
		var status Status
		if err := r.APIServer.do(ctx, http.MethodPost, url, command, &status); err != nil {
			r.Log.Info("command not delivered, it is sent again", zap.String("engine", id), zap.Error(err))
		}
	})
}

// forEachEngine calls f for the engines that are up, at most MaxConcurrentPolls at once, and returns when all calls
// have returned.
func (r *Runner) forEachEngine(view View, f func(id, url string)) {
	var up []string
	for _, id := range view.Assignments.Names() {
		if view.Listings[id].Up {
			up = append(up, id)
		}
	}
	forEachLimited(r.MaxConcurrentPolls, len(up), func(i int) {
		f(up[i], "http://"+view.Listings[up[i]].Address+PathRole)
	})
}

// forEachLimited calls f with 0 to n-1, at most limit calls at once, and returns when all calls have returned.
func forEachLimited(limit, n int, f func(i int)) {
	slots := make(chan struct{}, limit)
	var calls sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	calls.Wait()
}
