package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"brackenbend/internal/fake/loopback"
	"brackenbend/routing"
)

func TestNothingIsSentAfterCloseOrCancel(t *testing.T) {
	received := make(chan bool, 4)
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) { received <- readRequest(bufio.NewReader(conn)) })
	client := newTestClient()
	call := Call{Path: "/v1/x", ID: "a"}
	canceled := &Attempt{}
	canceled.Cancel()
	if out := client.Prefill(canceled, endpoint, call); out.Result != routing.NotSent {
		t.Errorf("canceled: %+v", out)
	}
	endpoint.Close()
	if out := client.Prefill(&Attempt{}, endpoint, call); out.Result != routing.NotSent {
		t.Errorf("closed: %+v", out)
	}
	// a connection that was dialed but not yet used is closed along with the endpoint
	endpoint.Open()
	conn, err := client.getConn(nil, endpoint, true, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	client.putConn(endpoint, conn, true)
	if !(&Attempt{}).attachConn(conn.Conn) {
		t.Fatal("a new attempt can't attach a connection")
	}
	endpoint.Close()
	if endpoint.Conns() != 0 {
		t.Errorf("%d connections are kept to a draining endpoint", endpoint.Conns())
	}
	select {
	case sent := <-received:
		if sent {
			t.Error("a request reached the engine")
		}
	case <-time.After(time.Second):
	}
}

func TestCancelWhileWaitingForResponse(t *testing.T) {
	requestRead, connClosed := make(chan struct{}), make(chan struct{})
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		readRequest(bufio.NewReader(conn))
		close(requestRead)
		readUntilClosed(conn)
		close(connClosed)
	})
	a := &Attempt{}
	go func() {
		<-requestRead
		a.Cancel()
	}()
	if out := newTestClient().Prefill(a, endpoint, Call{Path: "/v1/x", ID: "a"}); out.Result != routing.Canceled {
		t.Errorf("%+v", out)
	}
	<-connClosed // the engine must see the connection close
}

// TestResultOfPartiallyWrittenRequest checks the result of a request that was written only in part: it never ran if
// engines start at the last byte (RunsWhenComplete), and may have run if they may start at the first byte.
func TestResultOfPartiallyWrittenRequest(t *testing.T) {
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		_ = conn.SetReadBuffer(4096) // if this fails, the case still holds with a larger buffer
		_, _ = conn.Read(make([]byte, 1))
		resetOnClose(conn)
	})
	for name, c := range map[string]struct {
		client *Client
		want   routing.Result
	}{
		"engines start at the last byte":      {newLastByteClient(), routing.RequestIncomplete},
		"engines may start at the first byte": {newTestClient(), routing.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			call := newCall(10 * time.Second)
			call.Body = make([]byte, 64<<20)
			if out := c.client.Prefill(&Attempt{}, endpoint, call); out.Result != c.want {
				t.Errorf("%+v, want %v", out, c.want)
			}
		})
	}
}

// TestSettleDelayWithholdsLastByte checks that a request that is not idempotent counts as never run if its connection
// breaks, or a response or a drain comes, before the last byte is sent. If the connection breaks later, it may have
// run. The delay is long in cases that end it early, and short in cases that wait for its end.
func TestSettleDelayWithholdsLastByte(t *testing.T) {
	body := []byte(`{"model":"chat"}`)
	bodyWithoutLastByte := body[:len(body)-1]
	respondEarly := func(response string) func(*testing.T, *net.TCPConn, *Endpoint) {
		return func(_ *testing.T, conn *net.TCPConn, _ *Endpoint) {
			readUntil(conn, bodyWithoutLastByte)
			respond(conn, response)
			readUntilClosed(conn)
		}
	}
	for name, c := range map[string]struct {
		settleDelay time.Duration
		serve       func(t *testing.T, conn *net.TCPConn, e *Endpoint)
		want        routing.Result
	}{
		"reset at the first byte": {time.Minute, func(_ *testing.T, conn *net.TCPConn, _ *Endpoint) {
			_, _ = conn.Read(make([]byte, 1)) // otherwise the reset may come before the dial has completed
			resetOnClose(conn)
		}, routing.RequestIncomplete},
		"reset before the last byte": {time.Minute, func(_ *testing.T, conn *net.TCPConn, _ *Endpoint) {
			readUntil(conn, bodyWithoutLastByte)
			resetOnClose(conn)
		}, routing.RequestIncomplete},
		"closed before the last byte": {time.Minute, func(_ *testing.T, conn *net.TCPConn, _ *Endpoint) {
			readUntil(conn, bodyWithoutLastByte)
		}, routing.RequestIncomplete},
		"503 before the last byte": {
			time.Minute, respondEarly("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
			routing.RequestIncomplete,
		},
		"200 before the last byte": {
			time.Minute, respondEarly("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), routing.RequestIncomplete,
		},
		"drain before the last byte": {50 * time.Millisecond, func(t *testing.T, conn *net.TCPConn, e *Endpoint) {
			readUntil(conn, bodyWithoutLastByte)
			e.Close()
			if n, _ := conn.Read(make([]byte, 1)); n > 0 {
				t.Error("the last byte was sent to a draining engine")
			}
		}, routing.NotSent},
		"reset after the last byte": {time.Millisecond, func(_ *testing.T, conn *net.TCPConn, _ *Endpoint) {
			readRequest(bufio.NewReader(conn))
			resetOnClose(conn)
		}, routing.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			client := newLastByteClient()
			client.SettleDelay = c.settleDelay
			var endpoint *Endpoint
			ready := make(chan struct{})
			endpoint = startPeer(t, func(_ int, conn *net.TCPConn) {
				<-ready
				c.serve(t, conn, endpoint)
			})
			close(ready)
			call := newCall(time.Minute)
			call.NotIdempotent, call.Body = true, body
			if out := client.Decode(&Attempt{}, endpoint, call, &testSink{}); out.Result != c.want {
				t.Errorf("%+v, want %v", out, c.want)
			}
		})
	}
}

// readUntil reads until the received data ends in suffix, or the connection fails.
func readUntil(conn net.Conn, suffix []byte) {
	b := make([]byte, 4096)
	for got := 0; !bytes.HasSuffix(b[:got], suffix); {
		n, err := conn.Read(b[got:])
		if err != nil {
			return
		}
		got += n
	}
}

// TestNothingIsWrittenForAbandonedCall checks that nothing more is written once the client has left: before the attempt
// starts, during the dial, or while the last byte is withheld. The request never ran.
func TestNothingIsWrittenForAbandonedCall(t *testing.T) {
	body := []byte(`{"model":"chat"}`)
	for name, c := range map[string]struct {
		presentChecks int  // how many calls of Abandoned return false
		connection    bool // a connection is established
		written       bool // all but the last byte is written
	}{
		"before the start":      {presentChecks: 0},
		"before the first byte": {presentChecks: 1, connection: true},
		"before the last byte":  {presentChecks: 2, connection: true, written: true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan []byte, 1)
			endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
				b, _ := io.ReadAll(conn) // data received before an error counts too
				received <- b
			})
			client := newLastByteClient()
			client.SettleDelay = time.Millisecond
			call := newCall(time.Minute)
			call.NotIdempotent, call.Body = true, body
			checks := 0
			call.Abandoned = func() bool {
				checks++
				return checks > c.presentChecks
			}
			if out := client.Decode(&Attempt{}, endpoint, call, &testSink{}); out.Result != routing.NotSent {
				t.Errorf("%+v", out)
			}
			if !c.connection {
				return
			}
			if b := <-received; bytes.HasSuffix(b, body) || !c.written && len(b) > 0 {
				t.Errorf("%q was written", b)
			}
		})
	}
}

// TestNothingIsSentAfterSendBy checks that a request is not sent completely once SendBy has passed: before the call,
// between the dial and the first byte, or during the body, which the engine does not read. The result is NotSent, which
// does not count as a failure of the engine.
func TestNothingIsSentAfterSendBy(t *testing.T) {
	resume := make(chan struct{})
	receivedComplete := make(chan bool, 10) // for each connection, whether a complete request arrived
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		<-resume
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.ReadAll(req.Body)
		}
		receivedComplete <- err == nil
	})
	for name, c := range map[string]struct {
		bodySize  int
		remaining time.Duration
		blockAt   int // which call of Abandoned blocks until SendBy has passed; 0 = none
	}{
		"before the call":           {bodySize: 2, remaining: -time.Millisecond},
		"once the connection is up": {bodySize: 2, remaining: 200 * time.Millisecond, blockAt: 2},
		"while the body is sent":    {bodySize: 32 << 20, remaining: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			call := newCall(time.Minute)
			call.Body = bytes.Repeat([]byte("x"), c.bodySize)
			call.SendBy = time.Now().Add(c.remaining)
			checks := 0
			call.Abandoned = func() bool {
				if checks++; checks == c.blockAt {
					time.Sleep(time.Until(call.SendBy) + time.Millisecond)
				}
				return false
			}
			if out := newLastByteClient().Decode(&Attempt{}, endpoint, call, &testSink{}); out.Result != routing.NotSent {
				t.Errorf("%+v", out)
			}
		})
	}
	t.Run("past the deadline", func(t *testing.T) {
		out := newTestClient().Decode(&Attempt{}, endpoint, newCall(-time.Millisecond), &testSink{})
		if out.Result != routing.NotSent {
			t.Errorf("%+v", out)
		}
	})
	close(resume)
	for range 2 { // the case before the call and the one past the deadline dial no connection
		if <-receivedComplete {
			t.Error("an engine received a complete request")
		}
	}
}

// TestAwaitSettledWaitsAfterLocallyEndedAttempts checks that AwaitSettled waits after attempts that this process may
// have ended, so that their engine can notice, and not after attempts that the engine ended or never received.
func TestAwaitSettledWaitsAfterLocallyEndedAttempts(t *testing.T) {
	const settleDelay = 3 * time.Millisecond
	for result, want := range map[routing.Result]time.Duration{
		routing.TimedOut:          settleDelay,
		routing.Canceled:          settleDelay,
		routing.EngineError:       settleDelay,
		routing.RequestIncomplete: settleDelay,
		routing.Served:            0,
		routing.PrefillDone:       0,
		routing.Rejected:          0,
		routing.ConnectionReset:   0,
		routing.ConnectFailed:     0,
		routing.NotSent:           0,
	} {
		var waited time.Duration
		client := &Client{SettleDelay: settleDelay, Sleep: func(d time.Duration) { waited = d }}
		client.AwaitSettled(&Outcome{Result: result})
		if waited != want {
			t.Errorf("result %d: waited %v, want %v", result, waited, want)
		}
	}
}

// hungPeer is an engine that has stopped reading: what its system doesn't take stays in the buffers of the sender.
type hungPeer struct {
	*Endpoint
	resume   chan struct{} // close it to let the engine read on
	complete chan bool     // receives whether a complete request has arrived, for each connection
}

func startHungPeer(t *testing.T) *hungPeer {
	t.Helper()
	peer := &hungPeer{resume: make(chan struct{}), complete: make(chan bool, 1)}
	listener, err := loopback.ListenHung(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	peer.Endpoint = servePeer(t, listener, func(_ int, conn *net.TCPConn) {
		<-peer.resume
		peer.complete <- readRequest(bufio.NewReader(conn))
	})
	return peer
}

// expectIncomplete lets the peer read on and checks that no complete request arrives.
func (p *hungPeer) expectIncomplete(t *testing.T) {
	t.Helper()
	close(p.resume)
	if <-p.complete {
		t.Error("the engine has received the whole request after it was given up")
	}
}

// TestRequestArrivesWithinSendWindow guards against keyed requests that run a second time after their dedup window: a
// request that was written in time, but that a hung engine had not received, arrived when the engine ran again.
func TestRequestArrivesWithinSendWindow(t *testing.T) {
	peer := startHungPeer(t)
	call := newCall(5 * time.Second)
	call.Body = make([]byte, loopback.LongRequest)
	call.SendBy = time.Now().Add(200 * time.Millisecond)
	a := &Attempt{}
	out := newLastByteClient().Decode(a, peer.Endpoint, call, &testSink{})
	if out.Result != routing.TimedOut || call.deadlinePassed() {
		t.Errorf("%+v, after the deadline: %t", out, call.deadlinePassed())
	}
	if a.Progress().Written == 0 {
		t.Error("the kernel has not accepted the whole request, so that nothing was left to arrive later")
	}
	peer.expectIncomplete(t)
}

// TestResponseMayComeAfterSendWindow checks that a request that has arrived within its send window is waited for.
func TestResponseMayComeAfterSendWindow(t *testing.T) {
	call := newCallWithBody(time.Minute)
	call.SendBy = time.Now().Add(50 * time.Millisecond)
	endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
		readRequest(bufio.NewReader(conn))
		time.Sleep(2 * time.Until(call.SendBy))
		respond(conn, prefillReply)
	})
	if out := newLastByteClient().Prefill(&Attempt{}, endpoint, call); out.Result != routing.PrefillDone {
		t.Errorf("%+v", out)
	}
}

// TestGivenUpRequestDoesNotArrive guards against attempts that begin after their client has left or their deadline has
// passed: the close of the connection let the kernel deliver what a hung engine had not received.
func TestGivenUpRequestDoesNotArrive(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Duration
		cancel   bool
		want     routing.Result
	}{
		"canceled":  {time.Minute, true, routing.Canceled},
		"timed out": {200 * time.Millisecond, false, routing.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			peer := startHungPeer(t)
			call := newCall(c.deadline)
			call.Body = make([]byte, loopback.LongRequest)
			a := &Attempt{}
			if c.cancel {
				go func() {
					for a.Progress().Written == 0 {
						time.Sleep(time.Millisecond)
					}
					a.Cancel()
				}()
			}
			if out := newLastByteClient().Decode(a, peer.Endpoint, call, &testSink{}); out.Result != c.want {
				t.Errorf("%+v, want %v", out, c.want)
			}
			if a.Progress().Written == 0 {
				t.Error("the kernel has not accepted the whole request, so that nothing was left to arrive later")
			}
			peer.expectIncomplete(t)
		})
	}
}

// TestCancelUnarrived guards against requests that arrive after their answer is no longer needed, and against ones that
// are aborted though they have arrived.
func TestCancelUnarrived(t *testing.T) {
	cancelWhenWritten := func(a *Attempt, ready func() bool) {
		for a.Progress().Written == 0 || !ready() {
			time.Sleep(time.Millisecond)
		}
		a.CancelUnarrived()
	}
	t.Run("not arrived", func(t *testing.T) {
		peer, a := startHungPeer(t), &Attempt{}
		call := newCall(time.Minute)
		call.Body = make([]byte, loopback.LongRequest)
		go cancelWhenWritten(a, func() bool { return true })
		if out := newLastByteClient().Prefill(a, peer.Endpoint, call); out.Result != routing.Canceled {
			t.Errorf("%+v", out)
		}
		peer.expectIncomplete(t)
	})
	t.Run("arrived", func(t *testing.T) {
		a, canceled := &Attempt{}, make(chan struct{})
		endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
			readRequest(bufio.NewReader(conn))
			<-canceled
			respond(conn, prefillReply)
		})
		go func() {
			cancelWhenWritten(a, func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return requestArrived(a.cancellation.conn)
			})
			close(canceled)
		}()
		out := newLastByteClient().Prefill(a, endpoint, newCallWithBody(10*time.Second))
		if out.Result != routing.PrefillDone {
			t.Errorf("%+v", out)
		}
		a.CancelUnarrived()
		if a.Canceled() {
			t.Error("an attempt that has its response was canceled")
		}
	})
	t.Run("not begun", func(t *testing.T) {
		a := &Attempt{}
		a.CancelUnarrived()
		out := newLastByteClient().Prefill(a, &Endpoint{Address: unusedAddress(t)}, newCallWithBody(time.Second))
		if out.Result != routing.NotSent {
			t.Errorf("%+v", out)
		}
	})
}

// TestIdleConnectionEndsWithoutReset checks that an engine sees the usual end of a connection that is no longer needed,
// also after a release, and also if the connection is not kept.
func TestIdleConnectionEndsWithoutReset(t *testing.T) {
	for name, use := range map[string]func(c *Client, e *Endpoint) bool{
		"after a prefill": func(c *Client, e *Endpoint) bool {
			return c.Prefill(&Attempt{}, e, newCallWithBody(10*time.Second)).Result == routing.PrefillDone
		},
		"after a release": func(c *Client, e *Endpoint) bool {
			return c.ReleaseState(&Attempt{}, e, "a", false, time.Now().Add(10*time.Second)) == nil
		},
		"not kept": func(c *Client, e *Endpoint) bool {
			c.MaxIdlePerEndpoint = 0
			return c.Prefill(&Attempt{}, e, newCallWithBody(10*time.Second)).Result == routing.PrefillDone
		},
	} {
		t.Run(name, func(t *testing.T) {
			end := make(chan error, 1)
			endpoint := startPeer(t, func(_ int, conn *net.TCPConn) {
				br := bufio.NewReader(conn)
				readRequest(br)
				respond(conn, prefillReply)
				_, err := br.ReadByte()
				end <- err
			})
			if !use(newTestClient(), endpoint) {
				t.Fatal("no success")
			}
			endpoint.Close()
			if err := <-end; !errors.Is(err, io.EOF) {
				t.Errorf("the engine sees %v", err)
			}
		})
	}
}
