package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// maxChunkSizeDigits is the maximum number of hexadecimal digits of a chunk size, so that it fits an int64.
const maxChunkSizeDigits = 15

// nextChunk reads the size line of the next chunk. After the last chunk it also reads the trailer section. A chunk over
// the limit of the body is an error.
func (b *Body) nextChunk() error {
	if err := b.endChunk(); err != nil {
		return err
	}
	b.chunkEndRead = false
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	if b.limit != noLimit && size > b.limit-b.chunkBytes {
		return bodyTooLarge(b.limit)
	}
	b.chunkBytes += size
	b.remaining = size
	if size > 0 {
		return nil
	}
	return b.skipTrailer()
}

// endChunk reads the CRLF after the data of a chunk, unless it was already read.
func (b *Body) endChunk() error {
	if b.chunkEndRead {
		return nil
	}
	line, err := b.readLine()
	if err != nil {
		return err
	}
	if len(line) != 0 {
		return badMessage("chunk longer than told")
	}
	b.chunkEndRead = true
	return nil
}

// skipTrailer reads and discards the trailer section, and marks the body as complete. A section of more than maxTrailer
// bytes is an error.
func (b *Body) skipTrailer() error {
	for size := 0; ; {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.eof = true
			return nil
		}
		if size += len(line); size > b.maxTrailer {
			return &Error{http.StatusRequestHeaderFieldsTooLarge, "trailer section too large"}
		}
	}
}

// readLine reads one line and returns it without its CRLF. The slice is valid until the next read.
func (b *Body) readLine() ([]byte, error) {
	line, err := b.br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, badMessage("chunk line too long")
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case len(line) < len(crlf) || line[len(line)-len(crlf)] != '\r':
		return nil, badMessage("chunk line ends in a bare LF")
	}
	line = line[:len(line)-len(crlf)]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, badMessage("bare CR in a chunk line")
	}
	return line, nil
}

// parseChunkSize parses the hexadecimal size at the start of a chunk's size line and ignores chunk extensions.
func parseChunkSize(line []byte) (int64, error) {
	size, digits := int64(0), 0
	for digits < len(line) {
		value := hexDigit(line[digits])
		if value < 0 {
			break
		}
		if digits++; digits > maxChunkSizeDigits {
			return 0, badMessage("chunk size too large")
		}
		size = size<<4 | int64(value)
	}
	suffix := line[digits:]
	if digits == 0 || len(suffix) > 0 && suffix[0] != ';' && suffix[0] != ' ' && suffix[0] != '\t' {
		return 0, badMessage("malformed chunk size")
	}
	return size, nil
}

// hexDigit returns the value of a hexadecimal digit, or -1 for any other byte.
func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
