package simprotocol

import (
	"encoding/binary"
	"fmt"
	"math"

	"brackenbend/routing"
)

// Reply encodes the frame that answers one batch.
type Reply struct {
	buf     []byte
	records uint32
}

// NewReply returns a reply to the batch with the sequence number seq. It overwrites buf and reuses its memory.
func NewReply(buf []byte, seq uint32) *Reply {
	r := &Reply{buf: append(buf[:0], make([]byte, replyHeaderSize)...)}
	binary.BigEndian.PutUint32(r.buf[8:], seq)
	return r
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint16, actions []routing.Action) error {
	if len(actions) == 0 {
		return nil
	}
	r.appendInstance(instance)
	for _, action := range actions {
		if err := r.appendAction(action); err != nil {
			return err
		}
	}
	return nil
}

// AddFault appends a record that reports a failure of an instance, with a text that says why.
func (r *Reply) AddFault(instance uint16, text string) {
	r.appendInstance(instance)
	r.appendText(replyFault, text)
}

// Bytes returns the finished frame.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[0:], uint32(len(r.buf)))
	binary.BigEndian.PutUint32(r.buf[4:], r.records)
	return r.buf
}

func (r *Reply) appendAction(action routing.Action) error {
	switch action := action.(type) {
	case routing.Send:
		r.begin(replySend)
		r.u32(uint32(action.Request))
		r.u32(uint32(action.Endpoint))
		r.u32(toMicros(action.Timeout))
	case routing.Reject:
		r.begin(replyReject)
		r.u32(uint32(action.Request))
		r.u32(toMicros(action.RetryAfter))
	case routing.Fail:
		r.begin(replyFail)
		r.u32(uint32(action.Request))
	case routing.Cancel:
		r.begin(replyCancel)
		r.u32(uint32(action.Request))
		r.u16(uint16(action.Attempt))
	case routing.ReleaseState:
		r.begin(replyReleaseState)
		r.u32(uint32(action.Request))
	case routing.Reserve:
		r.begin(replyReserve)
		r.u32(uint32(action.Request))
		r.u32(uint32(action.Endpoint))
	case routing.SetTimer:
		r.begin(replySetTimer)
		r.u32(max(1, toMicros(action.After)))
		r.u64(action.Tag)
	case routing.FetchEndpoints:
		r.begin(replyFetchEndpoints)
		r.u8(1)
	case routing.Log:
		r.appendText(replyLog, action.Text)
	default:
		return fmt.Errorf("reply: action %T has no encoding", action)
	}
	return nil
}

// appendInstance selects the instance that the following records belong to.
func (r *Reply) appendInstance(instance uint16) {
	r.begin(replyInstance)
	r.u16(instance)
}

// appendText appends a record that holds a text, truncated to the maximum of its 16-bit length field.
func (r *Reply) appendText(code byte, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.begin(code)
	r.u16(uint16(len(text)))
	r.buf = append(r.buf, text...)
}

// begin appends the code of a new record and counts the record.
func (r *Reply) begin(code byte) {
	r.u8(code)
	r.records++
}

func (r *Reply) u8(v byte)    { r.buf = append(r.buf, v) }
func (r *Reply) u16(v uint16) { r.buf = binary.BigEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
