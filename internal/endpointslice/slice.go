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

// The part of discovery.k8s.io/v1 that is used.
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
	// Conditions of an endpoint; nil means unknown, which the API says to read as ready and not terminating.
	Conditions struct {
		Ready       *bool `json:"ready,omitempty"`
		Serving     *bool `json:"serving,omitempty"`
		Terminating *bool `json:"terminating,omitempty"`
	}
	// Port of all endpoints of a slice.
	Port struct {
		Name *string `json:"name,omitempty"`
		Port *int32  `json:"port,omitempty"`
	}
)

// AnnotationStarted names an optional annotation of a slice: a JSON object from endpoint name to the RFC 3339 time at
// which its process started. Without it an engine counts as just started when its uid is first seen ready after the
// first list.
const AnnotationStarted = "brackenbend.dev/started"

const (
	portName = "http" // of the port that is used where a slice has several
	maxPort  = 1<<16 - 1
)

// validate rejects slices that can't be kept by name and version.
func (s *EndpointSlice) validate() error {
	if s.Metadata.Name == "" || s.Metadata.ResourceVersion == "" {
		return errors.New("endpointslice: a slice without name or resourceVersion")
	}
	return nil
}

// port is the port named http, else the first one; 0 = none.
func (s *EndpointSlice) port() int {
	port := 0
	for _, p := range s.Ports {
		if p.Port != nil && (port == 0 || p.Name != nil && *p.Name == portName) {
			port = int(*p.Port)
		}
	}
	return port
}

// startTimes is the annotation AnnotationStarted; empty where it is absent.
func (s *EndpointSlice) startTimes() map[string]time.Time {
	startTimes := map[string]time.Time{}
	if text := s.Metadata.Annotations[AnnotationStarted]; text != "" {
		_ = json.Unmarshal([]byte(text), &startTimes) // malformed: what could be read of it counts
	}
	return startTimes
}

// endpoint converts one endpoint of the slice; ok is false where it has no usable address.
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
