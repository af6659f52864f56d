package apiserver

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/golden"
)

// copyFile copies a file from testdata.
func copyFile(t *testing.T, name, to string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// requestText sends a request and returns its method and path followed by the response, as text.
func requestText(t *testing.T, s *Server, method, path, body string) string {
	t.Helper()
	req, err := http.NewRequest(method, s.URL()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // the body is read to its end
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return method + " " + path + "\n" + resp.Status + "\n" + resp.Header.Get("Content-Type") + "\n" + string(text)
}

// TestStoredAssignmentsAreServed checks that the assignment table and the planner's memory stored by a released version
// are read, served, and written to disk again in the same form. The golden files must not be updated.
func TestStoredAssignmentsAreServed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "book.json")
	copyFile(t, "book.json", file)
	copyFile(t, "book.json.memory", file+".memory")
	s := startServer(t, nil)
	if err := s.PersistAssignments(file); err != nil {
		t.Fatal(err)
	}
	s.Set(Entry{Name: "all", Kind: "k", Zone: "z", Cell: "c", Address: "127.0.0.1:9000", UID: "1", Ready: true})
	stored, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	const assignments, memory = "/v1/brackenbend/roles", "/v1/brackenbend/roles/memory"
	var got strings.Builder
	for _, request := range []struct{ method, path, body string }{
		{http.MethodGet, assignments, ""},
		{http.MethodGet, memory, ""},
		{http.MethodPut, assignments, string(stored)},
		{http.MethodPut, assignments, string(stored)}, // now based on an outdated version
		{http.MethodPut, assignments, "noise"},
		{http.MethodPut, memory, `{"at":"2026-01-02T03:04:05Z"}`},
		{http.MethodPut, memory, "noise"},
		{http.MethodGet, memory, ""},
	} {
		got.WriteString(requestText(t, s, request.method, request.path, request.body))
	}
	golden.Check(t, "served.txt", got.String())
	for _, name := range []string{file, file + ".memory"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "kept-"+filepath.Base(name), string(text))
	}
}
