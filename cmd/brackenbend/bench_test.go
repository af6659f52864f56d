package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The comparison: this front against httputil.ReverseProxy with random choice, each a process of its own in front
// of the same engines, which answer at once. "proxy" makes one exchange a request, at a writer; "proxy2" makes the two
// that the front makes, on the same transport: it has the prompt read at a reader and forwards to a writer what came.
// Run: go test ./cmd/brackenbend -run xxx -bench Against -benchtime 1x

// proxyMain is the other side's process; TestMain runs it where BRACKENBEND_TEST_PROXY names the engines.
func proxyMain(listen, engines string, two bool) int {
	var readers, writers []*url.URL
	for i, e := range strings.Split(engines, ",") {
		u := &url.URL{Scheme: "http", Host: e}
		if i%2 == 0 {
			readers = append(readers, u)
		} else {
			writers = append(writers, u)
		}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	p := &httputil.ReverseProxy{
		FlushInterval: -1, Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(writers[rand.IntN(len(writers))]) },
		Transport: transport,
	}
	if !two {
		return exit(http.ListenAndServe(listen, p))
	}
	client := &http.Client{Transport: transport}
	read := func(r *http.Request) error {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		with := func(more string) string { return string(body[:len(body)-1]) + more + "}" }
		u := *readers[rand.IntN(len(readers))]
		u.Path = r.URL.Path
		resp, err := client.Post(
			u.String(),
			"application/json",
			strings.NewReader(with(`,"max_tokens":1,"kv_transfer_params":{"do_remote_decode":true}`)),
		)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		var reply struct {
			KV json.RawMessage `json:"kv_transfer_params"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		write := with(`,"kv_transfer_params":` + string(reply.KV))
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(write)), int64(len(write))
		return nil
	}
	return exit(http.ListenAndServe(listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := read(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		p.ServeHTTP(w, r)
	})))
}

func exit(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 1
}

// instant is an engine that answers at once: reads with transfer parameters, writes with tokens tokens, pause
// apart. Streams of requests that say "hold" stay open.
func instant(b *testing.B, tokens int, pause time.Duration, hold <-chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	token := []byte(
		`data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"m",` +
			`"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n",
	)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), `"do_remote_decode":true`) {
			_, _ = io.WriteString(w, `{"kv_transfer_params":{"do_remote_prefill":true}}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for i := range tokens {
			if i > 0 && pause > 0 {
				time.Sleep(pause)
			}
			_, _ = w.Write(token)
			_ = rc.Flush()
		}
		if hold != nil {
			select {
			case <-hold:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

var sideNames = []string{"front", "proxy", "proxy2"}

// sides are the processes compared.
type sides struct {
	engines []string
	cmd     map[string]*exec.Cmd
	addr    map[string]string
}

func startSides(b *testing.B, tokens int, pause time.Duration, hold <-chan struct{}) *sides {
	s := &sides{addr: map[string]string{}, cmd: map[string]*exec.Cmd{}}
	servers := ""
	for i := range 4 {
		e := instant(b, tokens, pause, hold)
		s.engines = append(s.engines, e)
		servers += fmt.Sprintf("<server name=\"e%d\" kind=%q address=%q/>", i, []string{"reader", "writer"}[i%2], e)
	}
	for _, name := range sideNames {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s.addr[name] = l.Addr().String()
		l.Close()
	}
	file := filepath.Join(b.TempDir(), "front.xml")
	text := fmt.Sprintf(
		`<brackenbend><front listen=%q/><limits open-requests="20000" connections="20000"/><log level="warn"/>
		<service fronts="1"/>
		<class name="c" effect="safe" aim="20s" deadline="30s"/>
		<kind name="reader" role="reader"/><kind name="writer" role="writer"/>
		<model name="m" bytes-per-token="4" max-output="64tokens"/>
		<engines connections="20000" idle-connections="1000"/>%s</brackenbend>`,
		s.addr["front"],
		servers,
	)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		b.Fatal(err)
	}
	for _, name := range sideNames {
		c := exec.Command(os.Args[0], "serve", "-c", file)
		c.Env = append(os.Environ(), asMain...)
		if name != "front" {
			c = exec.Command(os.Args[0])
			c.Env = append(os.Environ(), "BRACKENBEND_TEST_PROXY="+name+" "+s.addr[name]+" "+strings.Join(s.engines, ","))
		}
		s.cmd[name] = c
		c.Stderr = os.Stderr
		if err := c.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = c.Process.Signal(syscall.SIGKILL); _ = c.Wait() })
	}
	for _, a := range s.addr {
		for {
			if c, err := net.Dial("tcp", a); err == nil {
				c.Close()
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	s.addr["direct"] = s.engines[1]
	time.Sleep(200 * time.Millisecond)
	return s
}

// asker sends requests on one connection.
type asker struct {
	c  net.Conn
	br *bufio.Reader
}

const benchBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":` +
	`"when does my oil come, and how much is it this week?"}]}`

// ask sends one request and returns the time to the first token; whole tells whether to read to the end.
func (k *asker) ask(addr string, whole bool) (time.Duration, error) {
	began := time.Now()
	if k.c == nil {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return 0, err
		}
		k.c, k.br = c, bufio.NewReader(c)
	}
	if _, err := fmt.Fprintf(
		k.c,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(benchBody),
		benchBody,
	); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != 200 {
		return 0, fmt.Errorf("answered %d", resp.StatusCode)
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	first := time.Since(began)
	if !whole {
		return first, nil
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return first, err
}

func proc(b *testing.B, c *exec.Cmd, file, key string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", c.Process.Pid, file))
	if err != nil {
		b.Skip(err)
	}
	if key == "" { // CPU ticks of 10 ms
		f := strings.Fields(string(text)[strings.LastIndexByte(string(text), ')')+2:])
		u, _ := strconv.ParseFloat(f[11], 64)
		s, _ := strconv.ParseFloat(f[12], 64)
		return (u + s) / 100
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, key); ok {
			n, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return n
		}
	}
	b.Fatalf("no %s", key)
	return 0
}

// lost: the front may lose nothing. The proxy now and then cuts an answer; such a request does not count.
func lost(b *testing.B, name string, err error) {
	if name == "front" || name == "direct" {
		b.Error(name, err)
	}
}

// BenchmarkAgainstProxyLatency: 150 requests a second, each to one of the four by lot, tokens 5 ms apart.
func BenchmarkAgainstProxyLatency(b *testing.B) {
	for range b.N {
		s := startSides(b, 20, 5*time.Millisecond, nil)
		var mu sync.Mutex
		firsts := map[string][]time.Duration{}
		idle := map[string]chan *asker{}
		for name := range s.addr {
			idle[name] = make(chan *asker, 200)
		}
		var wg sync.WaitGroup
		rnd := rand.New(rand.NewPCG(1, 1))
		names := append([]string{"direct"}, sideNames...)
		next := time.Now()
		for i := range 150 * 30 { // 150 a second, for 30 s
			next = next.Add(time.Duration(rnd.ExpFloat64() / 150 * float64(time.Second)))
			time.Sleep(time.Until(next))
			name := names[rnd.IntN(len(names))]
			wg.Add(1)
			go func() {
				defer wg.Done()
				var k *asker
				select {
				case k = <-idle[name]:
				default:
					k = &asker{}
				}
				d, err := k.ask(s.addr[name], true)
				if err != nil {
					lost(b, name, err)
					return
				}
				idle[name] <- k
				if i > 300 { // warm by then
					mu.Lock()
					firsts[name] = append(firsts[name], d)
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		at := func(name string, part float64) float64 {
			slices.Sort(firsts[name])
			return float64(firsts[name][int(part*float64(len(firsts[name])))].Microseconds())
		}
		for _, name := range names[1:] {
			b.ReportMetric(at(name, 0.5)-at("direct", 0.5), name+"-added-p50-us")
			b.ReportMetric(at(name, 0.99)-at("direct", 0.99), name+"-added-p99-us")
		}
	}
}

// BenchmarkAgainstProxyThroughput: closed loop, in turns of a second; what counts is the processes' own CPU.
func BenchmarkAgainstProxyThroughput(b *testing.B) {
	for _, tokens := range []int{1, 200} {
		b.Run(fmt.Sprintf("%d tokens", tokens), func(b *testing.B) {
			for range b.N {
				s := startSides(b, tokens, 0, nil)
				cpu, done := map[string]float64{}, map[string]float64{}
				for range 4 {
					for _, name := range sideNames {
						c := s.cmd[name]
						before := proc(b, c, "stat", "")
						var n atomic.Int64
						var wg sync.WaitGroup
						end := time.Now().Add(time.Second)
						for range 32 {
							wg.Add(1)
							go func() {
								defer wg.Done()
								k := &asker{}
								for time.Now().Before(end) {
									if _, err := k.ask(s.addr[name], true); err != nil {
										lost(b, name, err)
										k = &asker{}
										continue
									}
									n.Add(1)
								}
								if k.c != nil {
									k.c.Close()
								}
							}()
						}
						wg.Wait()
						cpu[name] += proc(b, c, "stat", "") - before
						done[name] += float64(n.Load())
					}
				}
				f := done["front"] / cpu["front"]
				b.ReportMetric(f, "front-requests/cpu-s")
				b.ReportMetric(f*float64(tokens), "front-tokens/cpu-s")
				for _, name := range sideNames[1:] {
					p := done[name] / cpu[name]
					b.ReportMetric(p, name+"-requests/cpu-s")
					b.ReportMetric(f/p, "ratio-to-"+name)
				}
			}
		})
	}
}

// BenchmarkOpenStreams: memory of the front's process for each stream that is open.
func BenchmarkOpenStreams(b *testing.B) {
	const n = 9000 // two descriptors each here and there, and an ordinary user has 20,000
	for range b.N {
		hold := make(chan struct{})
		s := startSides(b, 1, 0, hold)
		before := proc(b, s.cmd["front"], "status", "VmRSS:")
		var ks []*asker
		for range n {
			k := &asker{}
			if _, err := k.ask(s.addr["front"], false); err != nil {
				b.Fatal(len(ks), err)
			}
			ks = append(ks, k)
		}
		after := proc(b, s.cmd["front"], "status", "VmRSS:")
		b.ReportMetric((after-before)/n, "KiB/stream")
		close(hold)
		for _, k := range ks {
			k.c.Close()
		}
	}
}
