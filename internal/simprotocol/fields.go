package simprotocol

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
)

// fieldReader reads fields from the rest of a batch. After an error all reads return zero values and err keeps the
// first error.
type fieldReader struct {
	rest []byte
	err  error
}

func (f *fieldReader) bytes(n int64) []byte {
	if f.err == nil && n > int64(len(f.rest)) {
		f.err = io.ErrUnexpectedEOF
	}
	if f.err != nil {
		return nil
	}
	out := f.rest[:n]
	f.rest = f.rest[n:]
	return out
}

func (f *fieldReader) skip(n int64) { f.bytes(n) }

func (f *fieldReader) u8() byte {
	if p := f.bytes(1); p != nil {
		return p[0]
	}
	return 0
}

func (f *fieldReader) u16() uint16 {
	if p := f.bytes(2); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (f *fieldReader) u32() uint32 {
	if p := f.bytes(4); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (f *fieldReader) u64() uint64 {
	if p := f.bytes(8); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

// f32 reads a 32-bit floating-point number, which must be finite.
func (f *fieldReader) f32() float64 {
	v := float64(math.Float32frombits(f.u32()))
	if f.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		f.err = errors.New("floating-point number is not finite")
	}
	return v
}

// loadReport reads the number of a load report's values, then the values.
func (f *fieldReader) loadReport() []float64 {
	n := int(f.u8())
	if n == 0 || f.err != nil {
		return nil
	}
	report := make([]float64, n)
	for i := range report {
		report[i] = f.f32()
	}
	return report
}
