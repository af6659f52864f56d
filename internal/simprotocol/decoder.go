package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"brackenbend/routing"
)

// readStep is the greatest number of bytes of a body that are read at once. The buffer grows as bytes arrive, so that a
// wrong length in the header can't make the decoder allocate much more memory than they need.
const readStep = 1 << 20

// Decoder reads batches. It keeps the numbered endpoint lists from one batch to the next.
type Decoder struct {
	r     io.Reader
	buf   []byte
	lists [maxLists]endpointList
}

type endpointList struct {
	endpoints []routing.Endpoint
	defined   bool
}

// NewDecoder returns a decoder that reads batches from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next returns the next batch, or io.EOF where the input ends between two batches.
func (d *Decoder) Next() (*Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[0:])
	if size < batchHeaderSize || size > MaxFrame {
		return nil, fmt.Errorf("batch header: length %d is out of range", size)
	}
	body, err := d.readBody(int(size) - batchHeaderSize)
	if err != nil {
		return nil, fmt.Errorf("batch body: %w", err)
	}
	batch := &Batch{
		Now: fromMicros(binary.BigEndian.Uint64(header[8:])),
		Seq: binary.BigEndian.Uint32(header[16:]),
	}
	return batch, d.decodeRecords(batch, body, binary.BigEndian.Uint32(header[4:]))
}

// readBody reads n bytes into the decoder's buffer, which the next call overwrites.
func (d *Decoder) readBody(n int) ([]byte, error) {
	d.buf = d.buf[:0]
	for len(d.buf) < n {
		step, oldLen := min(readStep, n-len(d.buf)), len(d.buf)
		if cap(d.buf) < oldLen+step {
			d.buf = append(d.buf, make([]byte, step)...)
		} else {
			d.buf = d.buf[:oldLen+step]
		}
		if _, err := io.ReadFull(d.r, d.buf[oldLen:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return d.buf, nil
}

func (d *Decoder) decodeRecords(batch *Batch, body []byte, count uint32) error {
	f := &fieldReader{rest: body}
	instance, hasInstance := uint16(0), false
	for i := uint32(0); i < count; i++ {
		code := f.u8()
		var event any
		switch code {
		case recordInstance:
			instance, hasInstance = f.u16(), true
		case recordDefineList:
			d.defineList(f)
		default:
			if !hasInstance && f.err == nil {
				return fmt.Errorf("record %d: event before any instance is selected", i)
			}
			event = d.decodeEvent(f, code)
		}
		if f.err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, code, f.err)
		}
		if event != nil {
			batch.Items = append(batch.Items, Item{instance, event})
		}
	}
	if len(f.rest) != 0 {
		return fmt.Errorf("batch body: %d bytes left after %d records", len(f.rest), count)
	}
	return nil
}

// defineList decodes a numbered list, to which endpoint list events refer. It replaces an earlier list of the same
// number.
func (d *Decoder) defineList(f *fieldReader) {
	number, length := f.u8(), f.u32()
	if f.err == nil && (number >= maxLists || uint64(length)*endpointSize > uint64(len(f.rest))) {
		f.err = fmt.Errorf("list %d of %d entries does not fit: number too high or batch too short", number, length)
	}
	if f.err != nil {
		return
	}
	endpoints := make([]routing.Endpoint, length)
	for i := range endpoints {
		endpoints[i] = decodeEndpoint(f)
		if f.err == nil && endpoints[i].State > maxEndpointState {
			f.err = fmt.Errorf("entry %d: unknown state %d", i, endpoints[i].State)
		}
		if f.err != nil {
			return
		}
	}
	d.lists[number] = endpointList{endpoints, true}
}

func decodeEndpoint(f *fieldReader) routing.Endpoint {
	var e routing.Endpoint
	e.Weight = f.f32()
	e.Kind = int(f.u8())
	e.State = routing.EndpointState(f.u8())
	e.ID = routing.EndpointID(f.u32())
	e.Zone = int(f.u16())
	e.StartedAt = fromMicros(f.u64())
	e.Cell = int(f.u16())
	return e
}
