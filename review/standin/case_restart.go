package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	restartClients = 8
	// restartFirst is how long the stream of the first client's first request lasts, in events; each further client's
	// lasts an event longer. The streams of second requests last restartSecond events.
	restartFirst  = 20
	restartSecond = 40
	// restartTerm is when SIGTERM comes after the first requests, and restartKill when SIGKILL comes after that: the
	// longest deadline (4 s), counted as 3 s, plus 0.7 s.
	restartTerm = time.Second
	restartKill = 3700 * time.Millisecond
	// restartExcused is the time after SIGTERM up to which a request is excused that SIGKILL finds unanswered.
	restartExcused = 700 * time.Millisecond
)

// restartRun is one play of restart.
type restartRun struct {
	env  *environment
	site site
	c    *cluster
	node *node

	termAt  time.Time // set before termed is closed
	termed  chan struct{}
	mu      sync.Mutex
	sent    int // second requests
	refused int // answered, but not served
	served  int
	unread  int // their connection was closed before they were taken
	excused int
	lost    int
	err     error
}

// restart plays a planned restart at a site whose clients don't ask for the rest of a stream: SIGTERM while streams are
// under way, whose clients send their next request on the same connection if that stays open.
func restart(env *environment) (bool, string, error) {
	r := &restartRun{env: env, site: pamoja(), termed: make(chan struct{})}
	var err error
	if r.c, err = startCluster(env, 2, 3); err != nil {
		return false, "", err
	}
	for _, w := range r.c.writers {
		w.answer = restartAnswer
	}
	r.node, err = r.c.startNode(env, &r.site)
	defer r.node.stop()
	if err != nil {
		return false, "", err
	}
	var group sync.WaitGroup
	for i := range restartClients {
		group.Go(func() {
			if err := r.client(i); err != nil {
				r.count(func() { r.err = err })
			}
		})
	}
	time.Sleep(restartTerm)
	r.termAt = time.Now()
	if env.trouble {
		r.node.signal(syscall.SIGTERM)
		kill := time.AfterFunc(restartKill, func() { r.node.signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	close(r.termed)
	group.Wait()
	return r.lost == 0, fmt.Sprintf("%d second requests sent after SIGTERM on connections that stayed open: %d served, "+
		"%d refused or failed, %d not taken, %d excused, %d taken and cut off (lost)",
		r.sent, r.served, r.refused, r.unread, r.excused, r.lost), r.err
}

// restartAnswer streams; the number of events stands at the end of the request's id.
func restartAnswer(e *engine, conn net.Conn, req *http.Request) bool {
	events := restartSecond
	if _, number, ok := strings.Cut(req.Header.Get("Req-Id"), "first"); ok {
		_, _ = fmt.Sscanf(number, "%d", &events)
		events += restartFirst
	}
	return e.stream(conn, req, events, eventInterval)
}

func (r *restartRun) count(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// client sends two requests on one connection.
func (r *restartRun) client(i int) error {
	conn, err := dialNode(r.node)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	id, class := fmt.Sprintf("first%02d", i), r.site.classes[i%2]
	r.env.rec.add("client: sends %s (%s)", id, class)
	if err := write(conn, r.site.requestText(id, class, usualDeadline, usualBody)); err != nil {
		return err
	}
	first := conn.readReply(time.Now().Add(clientPatience))
	r.env.rec.add("client: %s: %v", id, &first)
	<-r.termed
	if !first.whole || !first.keepAlive {
		return nil
	}
	id = fmt.Sprintf("second%02d", i)
	sentAt := time.Since(r.termAt)
	err = write(conn, r.site.requestText(id, class, usualDeadline, usualBody))
	r.env.rec.add("client: sends %s (%s) %.3f s after SIGTERM on the same connection, error %v", id, class, sentAt.Seconds(), err)
	second := conn.readReply(time.Now().Add(clientPatience))
	begun := r.c.begun(id)
	r.env.rec.add("client: %s: %v; begun at engines %d times", id, &second, begun)
	r.count(func() {
		r.sent++
		switch {
		case second.whole && second.status == http.StatusOK:
			r.served++
		case second.whole:
			r.refused++
		case begun == 0 && second.status == 0:
			r.unread++
		case sentAt <= restartExcused:
			r.excused++
		default:
			r.lost++
		}
	})
	return nil
}
