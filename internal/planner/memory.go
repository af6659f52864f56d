package planner

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// memoryState is the state of loading and saving the planner's memory.
type memoryState struct {
	requested bool      // the memory of an earlier planner has been requested
	savedAt   time.Time // of the last attempt to save; at first, of the request
}

// restoreMemory restores the memory that an earlier planner has saved. It tries once, in the first round that has read
// the assignment table. If that fails, the planner starts without history, which is safe but takes longer to reach good
// decisions.
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

// saveMemory saves the planner's memory once per SaveInterval.
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
