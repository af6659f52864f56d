package gateway

import (
	"fmt"
	"testing"
)

// TestUsedIDsAreBounded guards against memory that grows with every new id.
func TestUsedIDsAreBounded(t *testing.T) {
	ids := newClientIDs()
	const requests = 5 * maxUsedIDs
	for i := range requests {
		id := fmt.Sprint(i)
		if !ids.claim(id, false) {
			t.Fatalf("the new id %s was refused", id)
		}
		ids.release(id, true)
	}
	if n := len(ids.open) + len(ids.used) + len(ids.usedBefore); n > 2*maxUsedIDs {
		t.Errorf("%d ids are remembered", n)
	}
	if last := fmt.Sprint(requests - maxUsedIDs); ids.claim(last, false) || !ids.claim(last, true) {
		t.Error("one of the latest ids isn't remembered, or keeps an idempotent request away")
	}
}
