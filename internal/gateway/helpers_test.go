package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	fakeengine "brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds each wait of a test for an expected event.
const waitTimeout = 20 * time.Second

// testGateway is a gateway with fake engines.
type testGateway struct {
	t         *testing.T
	gateway   *Gateway
	address   string
	engines   map[string]*fakeengine.Server // by role and index among all engines, as in "reader-0", "writer-1"
	endpoints []endpointslice.Endpoint
}

// settingsTemplate has a %s for the attributes of <limits>.
const settingsTemplate = `<brackenbend>
  <front name="t" listen="127.0.0.1:0" drain="5s" answer-margin="100ms"/>
  <limits %s/>
  <service fronts="1" max-attempts="6" release-within="500ms" writers-read="true" cancel="true" default-class="ask"/>
  <class name="ask" effect="safe" aim="5s" deadline="10s" late-worth="0.5"/>
  <class name="quick" effect="unsafe" aim="1s" deadline="1s"/>
  <class name="brief" effect="safe" aim="1s" deadline="1s"/>
  <class name="order" effect="unsafe" aim="5s" deadline="10s"/>
  <class name="book" effect="keyed" window="30s" aim="5s" deadline="10s"/>
  <kind name="reader" role="reader" memory="200000tokens"/>
  <kind name="writer" role="writer" memory="200000tokens"/>
  <model name="m" bytes-per-token="4" max-output="64tokens"/>
  <rule when="header" name="X-Class" equals="quick" class="quick"/>
  <rule when="header" name="X-Class" equals="brief" class="brief"/>
  <rule when="header" name="X-Class" equals="order" class="order"/>
  <rule when="header" name="X-Class" equals="book" class="book"/>
  <prefix from="system-messages"/>
  <engines dialect="extended" dial-time="1s"/>
  <server name="unused" kind="reader" address="127.0.0.1:1"/>
</brackenbend>`

func parseSettings(t *testing.T, text string) *config.Settings {
	t.Helper()
	parsed, err := config.Parse("test.xml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// newTestGateway starts a gateway with the given attributes of <limits>, and one engine for each of the roles.
func newTestGateway(t *testing.T, limits string, roles ...string) *testGateway {
	t.Helper()
	return newTestGatewayOn(t, listen(t), limits, roles...)
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// newTestGatewayOn is like newTestGateway, but the gateway serves on l.
func newTestGatewayOn(t *testing.T, l net.Listener, limits string, roles ...string) *testGateway {
	t.Helper()
	tg := &testGateway{t: t, engines: map[string]*fakeengine.Server{}, address: l.Addr().String()}
	var err error
	tg.gateway, err = NewFromSettings(
		parseSettings(t, fmt.Sprintf(settingsTemplate, limits)), zap.NewNop(), telemetry.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	for i, role := range roles {
		tg.startEngine(fmt.Sprintf("%s-%d", role, i), role)
	}
	tg.gateway.UpdateEndpoints(endpointslice.Update{Scope: routing.ListFull, Endpoints: tg.endpoints})
	served := make(chan error, 1)
	go func() { served <- tg.gateway.Serve(l) }()
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
		defer stop()
		tg.gateway.Shutdown(ctx)
		if err := <-served; err != nil {
			t.Error(err)
		}
		for _, e := range tg.engines {
			e.Close()
		}
		http.DefaultClient.CloseIdleConnections()
	})
	return tg
}

func (tg *testGateway) startEngine(name, role string) {
	tg.t.Helper()
	e, err := fakeengine.Start(fakeengine.Config{
		Name: name, Kind: role, CanCancel: true,
		Params: enginemodel.Params{
			CanPrefill:   true,
			CanDecode:    role != "reader",
			Slots:        64,
			MaxQueued:    32,
			MemoryTokens: 200000,
			PrefillRate:  50000,
			PrefillChunk: 512,
			StepTime:     2 * time.Millisecond,
			FetchRate:    1e6,
			CacheTokens:  100000,
			StateTTL:     30 * time.Second,
		},
	}, "127.0.0.1:0", false)
	if err != nil {
		tg.t.Fatal(err)
	}
	tg.engines[name] = e
	tg.endpoints = append(tg.endpoints, endpointslice.Endpoint{
		Name: name, Kind: role, Address: e.Info().Address, State: routing.EndpointReady,
	})
}

// enginesOf returns the engines that have the role.
func (tg *testGateway) enginesOf(role string) (engines []*fakeengine.Server) {
	for name, e := range tg.engines {
		if strings.HasPrefix(name, role) {
			engines = append(engines, e)
		}
	}
	return engines
}

// requireNoArrivals checks that no engine has received a request.
func (tg *testGateway) requireNoArrivals() {
	tg.t.Helper()
	for name, e := range tg.engines {
		if n := e.Arrivals(); n > 0 {
			tg.t.Errorf("%s received %d requests", name, n)
		}
	}
}

// post sends a request of the class with an http.Client and returns the response and its whole body.
func (tg *testGateway) post(class, body string) (*http.Response, string) {
	tg.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+tg.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		tg.t.Fatal(err)
	}
	req.Header.Set("X-Class", class)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tg.t.Fatal(err)
	}
	return resp, readBody(tg.t, resp)
}

func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer closeQuietly(resp.Body)
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%v after %q", err, text)
	}
	return string(text)
}

// dial opens a connection to the gateway and sends text on it.
func (tg *testGateway) dial(text string) net.Conn {
	tg.t.Helper()
	c, err := net.Dial("tcp", tg.address)
	if err != nil {
		tg.t.Fatal(err)
	}
	tg.t.Cleanup(func() { closeQuietly(c) })
	send(tg.t, c, text)
	return c
}

func send(t *testing.T, c io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// sendRaw sends the segments as they are, and returns all bytes received until the connection ends.
func (tg *testGateway) sendRaw(segments ...string) string {
	tg.t.Helper()
	c, err := net.Dial("tcp", tg.address)
	if err != nil {
		tg.t.Fatal(err)
	}
	defer closeQuietly(c)
	for _, segment := range segments {
		if _, err := io.WriteString(c, segment); err != nil {
			break // the gateway may answer and close the connection before it has read everything
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	text, _ := io.ReadAll(c) // a reset may follow the answer
	return string(text)
}

// eventually waits until ok returns true, and fails the test after waitTimeout.
func (tg *testGateway) eventually(description string, ok func() bool) {
	tg.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			tg.t.Fatalf("not within %v: %s", waitTimeout, description)
		}
	}
}

func (tg *testGateway) awaitOpenRequests(n int64) {
	tg.t.Helper()
	tg.eventually(fmt.Sprintf("%d requests are open", n), func() bool { return tg.gateway.openRequests.Load() == n })
}

// closeQuietly closes c and ignores errors: c may be closed or broken already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// chatBody returns the body of a chat completion request.
func chatBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[`+
		`{"role":"system","content":"You help."},{"role":"user","content":"hello there"}]}`, stream, tokens)
}

// chatRequest returns a whole HTTP request with the body, and with extra header fields.
func chatRequest(body, extraFields string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s",
		extraFields, len(body), body)
}

// readUntil reads from br until the bytes read end with end, and returns them.
func readUntil(t *testing.T, br *bufio.Reader, end string) string {
	t.Helper()
	var got strings.Builder
	for !strings.HasSuffix(got.String(), end) {
		b, err := br.ReadByte()
		if err != nil {
			t.Fatalf("%v after %q", err, got.String())
		}
		got.WriteByte(b)
	}
	return got.String()
}
