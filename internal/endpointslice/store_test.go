package endpointslice

import (
	"fmt"
	"testing"

	"brackenbend/routing"
)

// storeHarness applies events about slices that have one endpoint each.
type storeHarness struct {
	t *testing.T
	*store
}

func (h *storeHarness) applyEvent(eventType, name string, version int) []Endpoint {
	h.t.Helper()
	slice := &EndpointSlice{}
	slice.Metadata.Name, slice.Metadata.ResourceVersion = name, fmt.Sprint(version)
	port := int32(80)
	slice.Ports = []Port{{Port: &port}}
	address := fmt.Sprintf("10.0.%d.%d", version/250%250, version%250)
	slice.Endpoints = []SliceEndpoint{{Addresses: []string{address}}}
	return h.apply(eventType, slice)
}

// TestStorePrunesVersionsOfDeletedSlices adds and deletes thousands of slices. The number of stored versions must stay
// bounded, and a late event about a pruned slice must still be ignored.
func TestStorePrunesVersionsOfDeletedSlices(t *testing.T) {
	h := &storeHarness{t, newStore("", "")}
	h.applyEvent(eventAdded, "stays", 1)
	for i := range 20000 {
		name := fmt.Sprint("pod-", i)
		h.applyEvent(eventAdded, name, 2*i+2)
		h.applyEvent(eventDeleted, name, 2*i+3)
		if n := len(h.versions); n > minDeletedVersions+2*2+1 {
			t.Fatalf("the versions of %d names are stored", n)
		}
	}
	if got := h.applyEvent(eventAdded, "pod-0", 2); got != nil {
		t.Errorf("a late event about a pruned slice was applied: %v", got)
	}
	if got := h.applyEvent(eventAdded, "pod-0", 50000); len(got) != 1 || got[0].State != routing.EndpointReady {
		t.Errorf("a new slice with the name of a deleted one was not added: %v", got)
	}
	if got := h.applyEvent(eventDeleted, "stays", 50001); len(got) != 1 || got[0].State != routing.EndpointGone {
		t.Errorf("changes after the slice was deleted: %v", got)
	}
}
