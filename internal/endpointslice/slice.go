package endpointslice

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"time"

	"brackenbend/routing"
)

// The fields of discovery.k8s.io/v1 that are used.
type (
	objectMeta struct {
		Name            string            `json:"name"`
		ResourceVersion string            `json:"resourceVersion"`
		Labels          map[string]string `json:"labels,omitempty"`
		Annotations     map[string]string `json:"annotations,omitempty"`
	}
	// EndpointSlice is a discovery.k8s.io/v1 EndpointSlice.
	EndpointSlice struct {
		Metadata    objectMeta      `json:"metadata"`
		AddressType string          `json:"addressType"`
		Endpoints   []SliceEndpoint `json:"endpoints"`
		Ports       []Port          `json:"ports"`
	}
	// SliceEndpoint is one endpoint of a slice.
	SliceEndpoint struct {
		Addresses  []string   `json:"addresses"`
		Conditions Conditions `json:"conditions"`
		Zone       *string    `json:"zone,omitempty"`
		TargetRef  *struct {
			Name string `json:"name"`
			UID  string `json:"uid"`
		} `json:"targetRef,omitempty"`
	}
	// Conditions of an endpoint. A nil condition is unknown; the API specifies that it be read as ready and not
	// terminating.
	Conditions struct {
		Ready       *bool `json:"ready,omitempty"`
		Serving     *bool `json:"serving,omitempty"`
		Terminating *bool `json:"terminating,omitempty"`
	}
	// Port is a port that all endpoints of a slice serve.
	Port struct {
		Name *string `json:"name,omitempty"`
		Port *int32  `json:"port,omitempty"`
	}
)

// AnnotationStarted is an optional annotation of a slice: a JSON object that maps endpoint names to the RFC 3339 start
// times of their processes. A process without an entry counts as started when its endpoint becomes ready after the
// first list. If it is ready in the first list, it counts as started long ago, unless the cache holds its start time.
const AnnotationStarted = "brackenbend.dev/started"

const (
	portName = "http" // of the port to use if a slice has several
	maxPort  = 1<<16 - 1
)

// validate rejects slices without the name and the version under which they are stored.
func (s *EndpointSlice) validate() error {
	if s.Metadata.Name == "" || s.Metadata.ResourceVersion == "" {
		return errors.New("endpointslice: slice without a name or a resourceVersion")
	}
	return nil
}

// port returns the port named http, or else the first one; 0 means that the slice has no port.
func (s *EndpointSlice) port() int {
	port := 0
	for _, p := range s.Ports {
		if p.Port != nil && (port == 0 || p.Name != nil && *p.Name == portName) {
			port = int(*p.Port)
		}
	}
	return port
}

// startTimes parses the annotation AnnotationStarted. It returns an empty map if the annotation is absent or not JSON.
func (s *EndpointSlice) startTimes() map[string]time.Time {
	startTimes := map[string]time.Time{}
	if text := s.Metadata.Annotations[AnnotationStarted]; text != "" {
		_ = json.Unmarshal([]byte(text), &startTimes) // keeps the entries that precede an invalid time
	}
	return startTimes
}

// endpoint converts one endpoint of the slice. ok is false if it has no usable address or port.
func (s *EndpointSlice) endpoint(se *SliceEndpoint, port int) (endpoint Endpoint, ok bool) {
	if len(se.Addresses) == 0 || port <= 0 || port > maxPort {
		return Endpoint{}, false
	}
	if _, err := netip.ParseAddr(se.Addresses[0]); err != nil {
		return Endpoint{}, false
	}
	endpoint.Address = net.JoinHostPort(se.Addresses[0], strconv.Itoa(port))
	endpoint.Name = endpoint.Address
	if se.TargetRef != nil && se.TargetRef.Name != "" {
		endpoint.Name, endpoint.UID = se.TargetRef.Name, se.TargetRef.UID
	}
	if se.Zone != nil {
		endpoint.Zone = *se.Zone
	}
	endpoint.State = se.Conditions.state()
	return endpoint, true
}

func (c Conditions) state() routing.EndpointState {
	switch {
	case c.Terminating != nil && *c.Terminating:
		return routing.EndpointDraining
	case c.Ready != nil && !*c.Ready:
		return routing.EndpointGone
	}
	return routing.EndpointReady
}
