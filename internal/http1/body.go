package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// preallocateMax is the longest body whose memory is taken before its bytes have arrived: a length that a peer only
// announces must not take more.
const preallocateMax = 64 << 10

// Body reads a message's body. Read returns io.EOF only at its true end, io.ErrUnexpectedEOF when the connection
// ended before, and an *Error when its framing is broken.
type Body struct {
	br         *bufio.Reader
	remaining  int64 // bytes of the body or of the current chunk; -1 = until the connection ends
	chunked    bool
	lineEnded  bool // chunked: no line end of an earlier chunk's data is left to read
	eof        bool
	maxTrailer int   // bytes
	err        error // met in WaitReadable, for the next Read
}

// Reset sets b to the body of m, which follows in br.
func (b *Body) Reset(br *bufio.Reader, m *Message, limits Limits) {
	*b = Body{
		br: br, remaining: m.ContentLength, chunked: m.Chunked, lineEnded: true, maxTrailer: limits.MaxHeaderBytes,
	}
	if b.chunked {
		b.remaining = 0
	}
	b.eof = !b.chunked && b.remaining == 0
}

// AtEOF reports whether the body's end was read; only then may the connection serve another message.
func (b *Body) AtEOF() bool { return b.eof }

// Read implements io.Reader. It returns what is buffered rather than wait for p to fill.
func (b *Body) Read(p []byte) (int, error) {
	if b.eof {
		return 0, io.EOF
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.eof {
			return 0, io.EOF
		}
	}
	if b.remaining >= 0 && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.br.Read(p)
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	switch {
	case err == io.EOF && b.remaining < 0:
		b.eof = true
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	case err == nil && b.remaining == 0 && !b.chunked:
		b.eof = true
	}
	return n, err
}

// WaitReadable blocks until the connection has something for the body or has failed, which the next Read reports. The
// line end after the data of the last chunk does not count as something.
func (b *Body) WaitReadable() {
	if b.eof || b.err != nil {
		return
	}
	if b.chunked && b.remaining == 0 {
		if b.err = b.endChunk(); b.err != nil {
			return
		}
	}
	_, _ = b.br.Peek(1) // the next Read meets the error again
}

// Buffered reports whether a Read returns without waiting for the connection.
func (b *Body) Buffered() bool {
	n := b.br.Buffered()
	if b.eof || !b.chunked || b.remaining > 0 || n == 0 {
		return b.eof || n > 0
	}
	buffered, _ := b.br.Peek(n) // never reads, so it can't fail
	if !b.lineEnded {
		buffered = buffered[min(len(crlf), n):]
	}
	sizeEnd := bytes.IndexByte(buffered, '\n')
	return sizeEnd >= 0 && sizeEnd+1 < len(buffered)
}

// ReadAll reads a body of at most limit bytes; more is an *Error with status 413.
func ReadAll(b *Body, limit int64) ([]byte, error) {
	if !b.chunked && b.remaining > limit {
		return nil, bodyTooLarge(limit)
	}
	if n := b.remaining; !b.chunked && n >= 0 && n <= preallocateMax {
		data := make([]byte, n)
		_, err := io.ReadFull(b, data)
		if errors.Is(err, io.EOF) && n > 0 {
			err = io.ErrUnexpectedEOF
		}
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(b, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = bodyTooLarge(limit)
	}
	return data, err
}
