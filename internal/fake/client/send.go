package client

import (
	"bufio"
	"net"
	"time"

	"brackenbend/internal/audit"
)

const (
	// connectTimeout is long for a connection within one machine and short compared with a client's timeout.
	connectTimeout = 2 * time.Second
	// extraBytesWait is how long a client reads on after the response, to detect extra bytes. A gateway that writes too
	// much writes it together with the response.
	extraBytesWait = 20 * time.Millisecond
	readBufferSize = 8192
)

// Send sends the attempt to a replica, reads the response and records both. record may be nil.
func Send(attempt *Attempt, replica, addr string, record *audit.Record) Result {
	startedAt := time.Now()
	notSentResult := func() Result {
		record.Add(audit.Event{Kind: audit.AttemptUnsent, Attempt: attempt.ID, Replica: replica})
		return Result{Outcome: NotSent, Elapsed: time.Since(startedAt)}
	}
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return notSentResult()
	}
	defer func() { _ = conn.Close() }() // the response has been read by then
	request := attempt.encode(addr)
	deadline := record.Now() + attempt.Timeout
	readUntil := time.Now().Add(attempt.Timeout)
	if _, err := conn.Write(request); err != nil {
		return notSentResult()
	}
	record.Add(audit.Event{
		Kind: audit.AttemptSent, Attempt: attempt.ID, Intent: attempt.Intent, Class: attempt.Class, Replica: replica,
		Deadline: deadline,
	})
	if attempt.DisconnectAfter > 0 {
		readUntil = time.Now().Add(attempt.DisconnectAfter)
	}
	setReadDeadline(conn, readUntil)
	reader := &responseReader{
		attempt: attempt, conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), startedAt: startedAt,
	}
	result := reader.read()
	result.Elapsed = time.Since(startedAt)
	reader.recordOutcome(record, result)
	return result
}

// recordOutcome records the outcome of the attempt and, if a response ended it, whether more bytes follow.
func (r *responseReader) recordOutcome(record *audit.Record, result Result) {
	id := r.attempt.ID
	switch result.Outcome {
	case ConnectionLost:
		record.Add(audit.Event{Kind: audit.ConnectionCut, Attempt: id})
	case Disconnected:
		record.Add(audit.Event{Kind: audit.ClientDisconnected, Attempt: id})
	case TimedOut: // shown in the record by the missing answer
	default:
		record.Add(audit.Event{Kind: audit.Answer, Attempt: id, Result: result.Outcome})
		setReadDeadline(r.conn, time.Now().Add(extraBytesWait))
		if _, err := r.reader.Peek(1); err == nil { // otherwise nothing arrives in time, or the connection is closed
			record.Add(audit.Event{Kind: audit.ExtraBytes, Attempt: id})
		}
	}
}

// setReadDeadline sets the read deadline of a connection. It can fail only on a closed one, from which the next read
// fails too.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }
