package simprotocol

import (
	"errors"
	"fmt"

	"brackenbend/routing"
)

// decodeEvent decodes a record for one instance. It returns nil for a record that the router does not use, and sets
// f.err for an unknown code.
func (d *Decoder) decodeEvent(f *fieldReader, code byte) any {
	switch code {
	case recordStart:
		return decodeStart(f)
	case recordStop:
		return Stop{}
	case recordEndpointList:
		return d.decodeEndpointList(f)
	case recordRequest:
		return decodeRequest(f)
	case recordFirstToken:
		return decodeFirstToken(f)
	case recordOutcome:
		return decodeOutcome(f)
	case recordClientDisconnected:
		return routing.ClientDisconnected{Request: routing.RequestID(f.u32())}
	case recordTimer:
		return routing.Timer{Tag: f.u64()}
	case recordReserved:
		return decodeReserved(f)
	case recordHealthResult: // unused: this router sends no health checks
		f.skip(10)
		f.loadReport()
		return nil
	case recordPeerMessage: // unused: replicas send one another no messages
		f.skip(2)
		f.skip(int64(f.u16()))
		return nil
	}
	if f.err == nil {
		f.err = errors.New("unknown record code")
	}
	return nil
}

func decodeStart(f *fieldReader) Start {
	seed := f.u64()
	return Start{Seed: seed, Settings: f.bytes(int64(f.u32()))}
}

// decodeEndpointList decodes a reference to a numbered list. With the scope routing.ListFailed the number is ignored.
func (d *Decoder) decodeEndpointList(f *fieldReader) routing.EndpointList {
	scope, known := listScopes[f.u8()]
	f.skip(4) // unused
	number := f.u8()
	update := routing.EndpointList{Scope: scope}
	switch {
	case f.err != nil:
	case !known:
		f.err = errors.New("unknown list scope")
	case scope == routing.ListFailed:
	case number >= maxLists || !d.lists[number].defined:
		f.err = fmt.Errorf("endpoint list %d was never defined", number)
	default:
		update.Endpoints = d.lists[number].endpoints
	}
	return update
}

func decodeRequest(f *fieldReader) routing.Request {
	var request routing.Request
	request.ID = routing.RequestID(f.u32())
	flags := f.u8()
	request.Retry = flags&flagRetry != 0
	request.ResumedStream = flags&flagResumedStream != 0
	request.Deadline = fromMicros(f.u64())
	request.Session = f.u64()
	request.Tenant = int(f.u32())
	request.PromptTokens = f.f32()
	f.skip(4) // unused
	request.PrefixTokens = f.f32()
	request.MaxOutputTokens = f.f32()
	request.Class = int(f.u16())
	request.Prefix = f.u64()
	return request
}

func decodeFirstToken(f *fieldReader) routing.FirstToken {
	var first routing.FirstToken
	first.Request = routing.RequestID(f.u32())
	first.Endpoint = routing.EndpointID(f.u32())
	first.Elapsed = fromMicros(uint64(f.u32()))
	first.Attempt = int(f.u16())
	return first
}

func decodeOutcome(f *fieldReader) routing.Outcome {
	var outcome routing.Outcome
	outcome.Request = routing.RequestID(f.u32())
	outcome.Attempt = int(f.u16())
	outcome.Endpoint = routing.EndpointID(f.u32())
	outcome.Elapsed = fromMicros(uint64(f.u32()))
	outcome.RequestDone = f.u8() != 0
	resultDetail := f.u32() // cached tokens, or the reason of a rejection, by the result
	code := f.u16()
	result, known := results[code]
	if f.err == nil && !known {
		f.err = fmt.Errorf("unknown outcome code %d", code)
	}
	outcome.Result = result
	outcome.StateMissing = result == routing.Rejected && resultDetail == detailStateMissing
	if result == routing.PrefillDone || result == routing.Served {
		outcome.CachedTokens = float64(resultDetail)
	}
	outcome.LoadReport = f.loadReport()
	return outcome
}

func decodeReserved(f *fieldReader) routing.Reserved {
	var reserved routing.Reserved
	reserved.Request = routing.RequestID(f.u32())
	f.skip(2) // unused
	reserved.Endpoint = routing.EndpointID(f.u32())
	reserved.OK = f.u8() == 1
	f.f32() // unused, but must be a finite number
	return reserved
}
