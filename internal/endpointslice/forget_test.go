package endpointslice

import (
	"brackenbend/routing"
	"fmt"
	"testing"
	"time"
)

// TestDeletedNamesAreForgotten: thousands of slices come and go; what is kept of them is bounded, and an old event
// of one that was forgotten is still passed over.
func TestDeletedNamesAreForgotten(t *testing.T) {
	tab := table{slices: map[string]*EndpointSlice{}, versions: map[string]string{}, engines: map[string]Endpoint{}, now: time.Now}
	event := func(kind, name string, version int) []Endpoint {
		s := &EndpointSlice{}
		s.Metadata.Name, s.Metadata.ResourceVersion = name, fmt.Sprint(version)
		port := int32(80)
		s.Ports = []Port{{Port: &port}}
		s.Endpoints = []SliceEndpoint{{Addresses: []string{fmt.Sprintf("10.0.%d.%d", version/250%250, version%250)}}}
		return tab.apply(kind, s)
	}
	event("ADDED", "stays", 1)
	for i := range 20000 {
		event("ADDED", fmt.Sprint("pod-", i), 2*i+2)
		event("DELETED", fmt.Sprint("pod-", i), 2*i+3)
		if n := len(tab.versions); n > keepDeleted+2*2+1 {
			t.Fatalf("%d names are kept", n)
		}
	}
	if got := event("ADDED", "pod-0", 2); got != nil {
		t.Errorf("an old event of a forgotten name was taken: %v", got)
	}
	if got := event("ADDED", "pod-0", 50000); len(got) != 1 || got[0].State != routing.EndpointReady {
		t.Errorf("a name that is used anew was not taken: %v", got)
	}
	if got := event("DELETED", "stays", 50001); len(got) != 1 || got[0].State != routing.EndpointGone {
		t.Errorf("%v", got)
	}
}
