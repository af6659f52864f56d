package planner

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// memoryState says when the planner's memory was last exchanged with the API server.
type memoryState struct {
	requested bool // the memory of an earlier planner
	savedAt   time.Time
}

// restoreMemory restores, once, what an earlier planner has saved. Without it the planner learns anew, which is safe
// and slower.
func (r *Runner) restoreMemory(ctx context.Context) {
	if r.memory.requested || r.Policy != nil {
		return
	}
	r.memory = memoryState{requested: true, savedAt: time.Now()}
	saved, ok, err := r.APIServer.LoadMemory(ctx)
	if err == nil && ok {
		err = r.planner.Restore(saved.Memory, time.Since(saved.At), r.now())
	}
	switch {
	case err != nil:
		r.Log.Warn("planner memory not restored", zap.Error(err))
	case ok:
		r.Log.Info("planner memory restored", zap.Time("saved_at", saved.At))
	}
}

// saveMemory saves what the planner has learned, once per SaveInterval.
func (r *Runner) saveMemory(ctx context.Context) {
	if r.Policy != nil || time.Since(r.memory.savedAt) < r.SaveInterval {
		return
	}
	r.memory.savedAt = time.Now()
	memory, ok := r.planner.Memory()
	if !ok {
		return
	}
	if err := r.APIServer.SaveMemory(ctx, SavedMemory{At: time.Now(), Memory: memory}); err != nil {
		r.Log.Info("planner memory not saved", zap.Error(err))
	}
}
