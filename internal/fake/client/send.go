package client

import (
	"bufio"
	"net"
	"time"

	"brackenbend/internal/audit"
)

const (
	// connectTimeout is long beside a connect on one machine and short beside a client's time.
	connectTimeout = 2 * time.Second
	// extraBytesWait is how long a connection is watched after the final answer for bytes that nobody asked for. What a
	// gateway writes too much comes at once.
	extraBytesWait = 20 * time.Millisecond
	readBufferSize = 8192
)

// Send sends the attempt to a replica and follows it to its end. record may be nil.
func Send(attempt *Attempt, replica, addr string, record *audit.Record) Result {
	started := time.Now()
	unsent := func() Result {
		record.Add(audit.Event{Kind: audit.Unsent, Attempt: attempt.ID, Replica: replica})
		return Result{Kind: Unconnected, Elapsed: time.Since(started)}
	}
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return unsent()
	}
	defer func() { _ = conn.Close() }() // all that counts was read before
	request := attempt.encode(addr)
	deadline := record.Now() + attempt.Timeout
	readUntil := time.Now().Add(attempt.Timeout)
	if _, err := conn.Write(request); err != nil {
		return unsent()
	}
	record.Add(audit.Event{
		Kind: audit.Sent, Attempt: attempt.ID, Intent: attempt.Intent, Class: attempt.Class, Replica: replica,
		Deadline: deadline,
	})
	if attempt.DisconnectAfter > 0 {
		readUntil = time.Now().Add(attempt.DisconnectAfter)
	}
	setReadDeadline(conn, readUntil)
	answer := &answerReader{
		attempt: attempt, conn: conn, buffered: bufio.NewReaderSize(conn, readBufferSize), started: started,
	}
	result := answer.read()
	result.Elapsed = time.Since(started)
	answer.recordEnd(record, result)
	return result
}

// recordEnd records how the attempt ended, and bytes that come after a final answer.
func (r *answerReader) recordEnd(record *audit.Record, result Result) {
	id := r.attempt.ID
	switch result.Kind {
	case Cut:
		record.Add(audit.Event{Kind: audit.ConnectionCut, Attempt: id})
	case Disconnected:
		record.Add(audit.Event{Kind: audit.ClientLeft, Attempt: id})
	case NoAnswer: // the record shows it by having no answer
	default:
		record.Add(audit.Event{Kind: audit.Answer, Attempt: id, Result: result.Kind})
		setReadDeadline(r.conn, time.Now().Add(extraBytesWait))
		if _, err := r.buffered.Peek(1); err == nil { // otherwise the connection is silent or ends
			record.Add(audit.Event{Kind: audit.ExtraBytes, Attempt: id})
		}
	}
}

// setReadDeadline bounds the reads of a connection. It fails only on one that is closed, which the next read shows.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }
