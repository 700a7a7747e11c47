package cropaque

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of an encoded frame.
const (
	fieldKind protowire.Number = iota + 1
	fieldCaller
	fieldService
	fieldReason
	fieldMayQueue
	fieldBusy
	fieldQueued
	fieldSlots
	fieldMeanLatency
	fieldData
	fieldFailurePermille
	fieldAge
	fieldOwner
	fieldKept
	fieldLastingBusy
	fieldKeptBusy
	fieldKeptRate
	fieldKeptRoute
	fieldNumber
)

// maxReported bounds the numbers of a report that choices compute with.
const maxReported = 1 << 20

// errInvalidFrame is returned for bytes that don't encode a frame.
var errInvalidFrame = errors.New("invalid frame")

// Append appends the encoded frame to b.
func (f *Frame) Append(b []byte) []byte {
	b = appendNumber(b, fieldKind, uint64(f.Kind)+1)
	b = appendAddr(b, fieldCaller, f.Key.Caller)
	b = appendAddr(b, fieldService, f.Key.Service)
	b = appendNumber(b, fieldReason, uint64(f.Reason))
	if f.MayQueue {
		b = appendNumber(b, fieldMayQueue, 1)
	}
	b = appendNumber(b, fieldBusy, uint64(f.Load.Busy))
	b = appendNumber(b, fieldQueued, uint64(f.Load.Queued))
	b = appendNumber(b, fieldSlots, uint64(f.Load.Slots))
	b = appendNumber(b, fieldMeanLatency, uint64(f.Load.MeanLatency/time.Microsecond))
	b = appendNumber(b, fieldFailurePermille, uint64(f.Load.FailurePermille))
	b = appendNumber(b, fieldAge, uint64(f.Age/time.Microsecond))
	b = appendAddr(b, fieldOwner, f.Owner)
	b = appendNumber(b, fieldNumber, f.Number)
	b = appendNumber(b, fieldKept, uint64(f.Load.Kept))
	b = appendNumber(b, fieldLastingBusy, uint64(f.Load.LastingBusy))
	b = appendNumber(b, fieldKeptBusy, uint64(f.Load.KeptBusy))
	b = appendNumber(b, fieldKeptRate, uint64(f.Load.KeptRate))
	if f.KeptRoute {
		b = appendNumber(b, fieldKeptRoute, 1)
	}
	if len(f.Data) > 0 {
		b = protowire.AppendTag(b, fieldData, protowire.BytesType)
		b = protowire.AppendBytes(b, f.Data)
	}
	return b
}

// ParseFrame decodes a frame; its Data shares memory with b.
func ParseFrame(b []byte) (Frame, error) {
	var f Frame
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return f, errInvalidFrame
		}
		b = b[n:]
		switch typ {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return f, errInvalidFrame
			}
			f.setNumber(num, v)
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return f, errInvalidFrame
			}
			if err := f.setBytes(num, v); err != nil {
				return f, err
			}
			b = b[n:]
		default:
			return f, errInvalidFrame
		}
	}
	if !f.Kind.IsAFrameKind() || !f.Reason.IsAReason() {
		return f, fmt.Errorf("kind %d, reason %d: %w", int(f.Kind), int(f.Reason), errInvalidFrame)
	}
	return f, nil
}

// setNumber sets a numeric field; unknown fields are ignored.
func (f *Frame) setNumber(num protowire.Number, v uint64) {
	switch num {
	case fieldKind:
		f.Kind = FrameKind(v) - 1
	case fieldReason:
		f.Reason = Reason(v)
	case fieldMayQueue:
		f.MayQueue = v != 0
	case fieldBusy:
		f.Load.Busy = int(v)
	case fieldQueued:
		f.Load.Queued = int(v)
	case fieldSlots:
		f.Load.Slots = int(v)
	case fieldFailurePermille:
		f.Load.FailurePermille = int(v)
	case fieldAge:
		f.Age = time.Duration(v) * time.Microsecond
	case fieldNumber:
		f.Number = v
	case fieldKept:
		f.Load.Kept = int(min(v, maxReported))
	case fieldLastingBusy:
		f.Load.LastingBusy = int(min(v, maxReported))
	case fieldKeptBusy:
		f.Load.KeptBusy = int(min(v, maxReported))
	case fieldKeptRate:
		f.Load.KeptRate = int(min(v, maxReported))
	case fieldKeptRoute:
		f.KeptRoute = v != 0
	case fieldMeanLatency:
		f.Load.MeanLatency = time.Duration(v) * time.Microsecond
	}
}

// setBytes sets a bytes field; unknown fields are ignored.
func (f *Frame) setBytes(num protowire.Number, v []byte) error {
	switch num {
	case fieldCaller:
		return setAddr(&f.Key.Caller, v)
	case fieldService:
		return setAddr(&f.Key.Service, v)
	case fieldOwner:
		return setAddr(&f.Owner, v)
	case fieldData:
		f.Data = v
	}
	return nil
}

// appendNumber appends a numeric field unless it is 0.
func appendNumber(b []byte, num protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// appendAddr appends an address field unless the address is invalid.
func appendAddr(b []byte, num protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.BytesType)
	ip := a.Addr().AsSlice()
	b = protowire.AppendVarint(b, uint64(len(ip)+2))
	b = append(b, ip...)
	return append(b, byte(a.Port()>>8), byte(a.Port()))
}

// setAddr decodes an address.
func setAddr(a *netip.AddrPort, v []byte) error {
	if len(v) < 2 {
		return errInvalidFrame
	}
	ip, ok := netip.AddrFromSlice(v[:len(v)-2])
	if !ok {
		return errInvalidFrame
	}
	*a = netip.AddrPortFrom(ip, uint16(v[len(v)-2])<<8|uint16(v[len(v)-1]))
	return nil
}
