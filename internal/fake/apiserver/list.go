package apiserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"brackenbend/internal/audit"
)

// errExpired is returned for a continue token or a resource version that is too old.
var errExpired = errors.New("expired")

// serveSlices serves a list or watch request. The User-Agent names the replica.
func (s *Server) serveSlices(w http.ResponseWriter, r *http.Request) {
	replica, _ := strings.CutPrefix(r.UserAgent(), "brackenbend/")
	switch {
	case s.isUnreachable():
		writeUnavailable(w)
	case r.PathValue("ns") != s.Namespace:
		writeStatus(w, http.StatusNotFound, "NotFound", "no such namespace")
	case r.FormValue("watch") == "1" || r.FormValue("watch") == "true":
		s.watch(w, r, replica)
	default:
		s.list(w, r, replica)
	}
}

// listPage is one page of the endpoint list.
type listPage struct {
	version       int
	items         []any
	continueToken string   // of the next page; "" = this is the last one
	usable        []string // usable engines on this page
	unusable      []string // of all engines ever listed, those that are draining, not ready or removed
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, replica string) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		limit = 0
	}
	page, err := s.page(r.FormValue("continue"), limit)
	if err != nil {
		writeStatus(w, http.StatusGone, "Expired", "the list has changed")
		return
	}
	s.recordNotified(audit.NotifiedReady, replica, page.usable)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // a client that has disconnected is detected at the flush
		"kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1",
		"metadata": map[string]any{"resourceVersion": strconv.Itoa(page.version), "continue": page.continueToken},
		"items":    page.items,
	})
	if page.continueToken == "" && http.NewResponseController(w).Flush() == nil {
		s.recordNotified(audit.NotifiedGone, replica, page.unusable)
	}
}

// page returns the page of the list that the continue token refers to, or the first one, with at most limit items;
// 0 = all.
func (s *Server) page(continueToken string, limit int) (listPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 {
		limit = len(s.order)
	}
	startIndex := 0
	if continueToken != "" {
		var version int
		_, err := fmt.Sscanf(continueToken, "%d-%d", &version, &startIndex)
		if err != nil || version != s.log.version {
			return listPage{}, errExpired
		}
	}
	page := listPage{version: s.log.version, items: []any{}}
	for i := startIndex; i < len(s.order); i++ {
		if len(page.items) == limit {
			page.continueToken = fmt.Sprintf("%d-%d", page.version, i)
			break
		}
		e := s.applyAssignment(s.entries[s.order[i]])
		page.items = append(page.items, s.sliceObject(e, s.versions[e.Name]))
		if e.usable() {
			page.usable = append(page.usable, e.Name)
		}
	}
	for name := range s.everListed {
		if !s.applyAssignment(s.entries[name]).usable() {
			page.unusable = append(page.unusable, name)
		}
	}
	return page, nil
}

// recordNotified records what a replica is notified of. It is called before the bytes are sent for engines that are
// ready, since the replica may use them before this process runs again, and after the bytes are sent for engines that
// are not usable, since the replica cannot know it before.
func (s *Server) recordNotified(kind audit.EventKind, replica string, engines []string) {
	if s.Record == nil {
		return
	}
	for _, name := range engines {
		s.Record.Add(audit.Event{Kind: kind, Replica: replica, Engine: name})
	}
}

// sliceObject returns an entry as an EndpointSlice.
func (s *Server) sliceObject(e Entry, version int) map[string]any {
	// An address that cannot be split is listed as empty. Addresses come from tests and fake engines, never from clients.
	host, port, _ := net.SplitHostPort(e.Address)
	portNumber, _ := strconv.Atoi(port)
	metadata := map[string]any{
		"name": "engines-" + e.Name, "namespace": s.Namespace, "resourceVersion": strconv.Itoa(version),
		"labels": map[string]string{
			"app": "engines", "brackenbend.dev/kind": e.Kind, "brackenbend.dev/cell": e.Cell,
		},
	}
	if !e.Started.IsZero() {
		started, _ := json.Marshal(map[string]time.Time{e.Name: e.Started}) // fails only after the year 9999
		metadata["annotations"] = map[string]string{"brackenbend.dev/started": string(started)}
	}
	return map[string]any{
		"apiVersion": "discovery.k8s.io/v1", "kind": "EndpointSlice", "metadata": metadata, "addressType": "IPv4",
		"ports": []any{map[string]any{"name": "http", "port": portNumber, "protocol": "TCP"}},
		"endpoints": []any{map[string]any{
			"addresses":  []string{host},
			"zone":       e.Zone,
			"conditions": map[string]bool{"ready": e.usable(), "serving": e.Ready, "terminating": e.Draining},
			"targetRef":  map[string]string{"kind": "Pod", "name": e.Name, "uid": e.UID},
		}},
	}
}

func writeStatus(w http.ResponseWriter, code int, reason, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(statusObject(code, reason, message)) // a client that has disconnected does not matter
}

func writeUnavailable(w http.ResponseWriter) {
	writeStatus(w, http.StatusServiceUnavailable, "ServiceUnavailable", "cut off")
}

// statusObject returns an error in the form of the Kubernetes API.
func statusObject(code int, reason, message string) map[string]any {
	return map[string]any{
		"kind": "Status", "apiVersion": "v1", "status": "Failure", "reason": reason, "code": code, "message": message,
	}
}
