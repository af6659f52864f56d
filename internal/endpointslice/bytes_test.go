package endpointslice_test

import (
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/golden"
	"brackenbend/routing"
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const slice = `{"metadata":{"name":"s1","resourceVersion":"%d","labels":{"brackenbend.dev/kind":"decode",` +
	`"brackenbend.dev/cell":"c1"},"annotations":{"brackenbend.dev/started":"{\"pod-0\":\"2026-01-02T03:04:05Z\"}"}},` +
	`"addressType":"IPv4","endpoints":[{"addresses":["10.0.0.1"],"conditions":{"ready":true},"zone":"z1",` +
	`"targetRef":{"name":"pod-0","uid":"u0"}},{"addresses":["10.0.0.2"],"conditions":{"terminating":true}}],` +
	`"ports":[{"name":"other","port":1},{"name":"http","port":8000}]}`

// TestEndpointSliceRequestBytes records what a watcher writes: a list of two pages, watches, and a new list after 410; and
// what it takes of the answers, and keeps on disk. The golden files were recorded before the renaming and are not updated
// meanwhile.
func TestEndpointSliceRequestBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	answers := []string{
		`{"metadata":{"continue":"page 2/+&"},"items":[` + fmt.Sprintf(slice, 7) + `]}`,
		`{"metadata":{"resourceVersion":"9"},"items":[]}`,
		`{"type":"MODIFIED","object":` + strings.Replace(fmt.Sprintf(slice, 11), "true}", "false}", 1) + "}\n" +
			`{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"12"}}}` + "\n",
		`{"type":"ERROR","object":{"code":410,"message":"too old"}}` + "\n",
		`{"metadata":{"resourceVersion":"20"},"items":[` + fmt.Sprintf(slice, 18) + `]}`,
	}
	var asked, news strings.Builder
	whole := make(chan struct{})
	go func() {
		defer close(whole)
		for n := 0; n <= len(answers); n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			head, br := "", bufio.NewReader(nc)
			for !strings.HasSuffix(head, "\r\n\r\n") {
				line, err := br.ReadString('\n')
				if err != nil {
					return
				}
				head += line
			}
			fmt.Fprintf(&asked, "%q\n", strings.ReplaceAll(head, l.Addr().String(), "HOST:PORT"))
			if n == len(answers) {
				return
			}
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(answers[n]), answers[n])
			nc.Close()
		}
	}()
	dir := t.TempDir()
	token, cache := filepath.Join(dir, "token"), filepath.Join(dir, "list.json")
	if err := os.WriteFile(token, []byte("abc.def\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w := &endpointslice.Watcher{
		URL: "http://" + l.Addr().String() + "/", Namespace: "name space", Selector: "app=engines,x in (a,b)",
		KindLabel: "brackenbend.dev/kind", CellLabel: "brackenbend.dev/cell", TokenFile: token, CacheFile: cache,
		Client: &http.Client{Transport: &http.Transport{}}, UserAgent: "brackenbend/test", Log: func(string, error) {},
		OnUpdate:   func(u endpointslice.Update) { news.WriteString(updateText(u)) },
		MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, WatchTimeout: time.Minute,
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	select {
	case <-whole:
	case <-time.After(20 * time.Second):
		t.Error("not all requests came within 20 s")
		l.Close()
	}
	stop()
	<-done
	golden.Check(t, "requests.txt", asked.String())
	golden.Check(t, "updates.txt", news.String())
}

func updateText(u endpointslice.Update) string {
	var s strings.Builder
	fmt.Fprintf(&s, "scope %d\n", u.Scope)
	for _, e := range u.Endpoints {
		since := "-"
		if !e.Started.IsZero() {
			since = e.Started.UTC().Format(time.RFC3339Nano)
		}
		fmt.Fprintf(&s, "  name=%q address=%q kind=%q zone=%q cell=%q uid=%q state=%d started=%s\n",
			e.Name, e.Address, e.Kind, e.Zone, e.Cell, e.UID, e.State, since)
	}
	return s.String()
}

// TestCachedListOnDisk: the file that was written before the renaming is read whole, and written again byte for byte.
func TestCachedListOnDisk(t *testing.T) {
	list := []endpointslice.Endpoint{
		{
			Name: "a", Address: "10.0.0.1:8000", Kind: "decode", Zone: "z1", Cell: "c1", UID: "u1", State: routing.EndpointReady,
			Started: time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC),
		},
		{Name: "b", Address: "[::1]:1", Kind: "prefill", State: routing.EndpointDraining},
		{Name: "c", Address: "c:2", State: routing.EndpointGone},
	}
	file := filepath.Join(t.TempDir(), "list.json")
	if err := endpointslice.WriteCache(file, list); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "list.json", string(text))
	back, err := endpointslice.ReadCache(filepath.Join("testdata", "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := updateText(endpointslice.Update{Endpoints: back}), updateText(endpointslice.Update{Endpoints: list}); got != want {
		t.Errorf("read\n%s\nwant\n%s", got, want)
	}
	golden.Check(t, "list.read.txt", updateText(endpointslice.Update{Endpoints: back}))
}
