package apiserver

import (
	"brackenbend/internal/golden"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestStoredBookIsServed: the book and the memory that a register kept on disk before the renaming are read whole, served,
// and written to disk again in the same form. The golden files are not updated while the renaming goes on.
func TestStoredBookIsServed(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "book.json")
	for name, to := range map[string]string{"book.json": file, "book.json.memory": file + ".memory"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(to, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.PersistAssignments(file); err != nil {
		t.Fatal(err)
	}
	s.Set(Entry{Name: "all", Kind: "k", Zone: "z", Cell: "c", Address: "127.0.0.1:9000", UID: "1", Ready: true})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	call := func(method, path, body string) string {
		req, err := http.NewRequest(method, s.URL()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return method + " " + path + "\n" + resp.Status + "\n" + resp.Header.Get("Content-Type") + "\n" + string(text)
	}
	book, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	const roles, memory = "/v1/brackenbend/roles", "/v1/brackenbend/roles/memory"
	got := call("GET", roles, "") + call("GET", memory, "") + call("PUT", roles, string(book)) + call("PUT", roles, string(book)) +
		call("PUT", roles, "noise") + call("PUT", memory, `{"at":"2026-01-02T03:04:05Z"}`) + call("PUT", memory, "noise") +
		call("GET", memory, "")
	golden.Check(t, "served.txt", got)
	for _, name := range []string{file, file + ".memory"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "kept-"+filepath.Base(name), string(text))
	}
}
