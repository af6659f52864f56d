package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxPreallocatedBody is the size of the largest body whose memory is allocated before its bytes have arrived. It
// bounds the memory that a peer can claim with a Content-Length alone.
const maxPreallocatedBody = 64 << 10

// noLimit is the limit of a body without one.
const noLimit = -1

// Body reads the body of a message. Read returns io.EOF only at the end of a complete body, io.ErrUnexpectedEOF if the
// connection ends earlier, and an *Error if the framing is malformed.
type Body struct {
	br           *bufio.Reader
	remaining    int64 // unread bytes of the body or of the current chunk; -1 = until the connection ends
	chunked      bool
	chunkEndRead bool // the CRLF after the previous chunk's data was read, or there is no previous chunk
	eof          bool
	maxTrailer   int   // size limit of the trailer section, in bytes
	limit        int64 // size limit of the whole body, in bytes; noLimit = none
	chunkBytes   int64 // total size of the chunks so far, the current one included
	err          error // from SetLimit or WaitReadable; Read returns it
}

// Reset makes b read the body of m from br, whose next byte is the first after the header of m.
func (b *Body) Reset(br *bufio.Reader, m *Message, limits Limits) {
	*b = Body{
		br: br, remaining: m.ContentLength, chunked: m.Chunked, chunkEndRead: true, maxTrailer: limits.MaxHeaderBytes,
		limit: noLimit,
	}
	if b.chunked {
		b.remaining = 0
	}
	b.eof = !b.chunked && b.remaining == 0
}

// SetLimit makes Read fail with an *Error of status 413 as soon as the body is said to have more than limit bytes, by
// its Content-Length or by the sizes of its chunks. It must be called before the first Read. A body that extends to the
// end of the connection says nothing about its size.
func (b *Body) SetLimit(limit int64) {
	b.limit = limit
	if !b.chunked && b.remaining > limit {
		b.err = bodyTooLarge(limit)
	}
}

// AtEOF reports whether the body was read to its end. Only then can another message be read from the connection.
func (b *Body) AtEOF() bool { return b.eof }

// Read implements io.Reader. It returns the data that is available and does not wait until p is full.
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

// WaitReadable blocks until the connection has more data of the body or has failed. The next Read returns the error.
// The CRLF after the data of a chunk does not end the wait.
func (b *Body) WaitReadable() {
	if b.eof || b.err != nil {
		return
	}
	if b.chunked && b.remaining == 0 {
		if b.err = b.endChunk(); b.err != nil {
			return
		}
	}
	_, _ = b.br.Peek(1) // the next Read returns the same error
}

// Buffered reports whether the next Read returns without waiting for data from the connection. After the last chunk it
// may be true although the trailer section is incomplete, and Read then waits for the rest.
func (b *Body) Buffered() bool {
	n := b.br.Buffered()
	if b.eof || !b.chunked || b.remaining > 0 || n == 0 {
		return b.eof || n > 0
	}
	buffered, _ := b.br.Peek(n) // can't fail: all n bytes are buffered
	if !b.chunkEndRead {
		buffered = buffered[min(len(crlf), n):]
	}
	sizeEnd := bytes.IndexByte(buffered, '\n')
	return sizeEnd >= 0 && sizeEnd+1 < len(buffered)
}

// ReadAll reads the whole body. For a body of more than limit bytes it returns an *Error with status 413.
func ReadAll(b *Body, limit int64) ([]byte, error) {
	b.SetLimit(limit)
	if b.err != nil {
		return nil, b.err
	}
	if n := b.remaining; !b.chunked && n >= 0 && n <= maxPreallocatedBody {
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
