package crstore

import "fmt"

// Decode decodes the content of a log file. It returns the state, and the end
// offset and sequence number of the last whole frame.
func Decode(data []byte) (state State, end int64, seq uint64, err error) {
	offset := 0
	for offset < len(data) {
		payload, frameSeq, size, ok := readFrame(data[offset:])
		if !ok {
			if findLaterFrame(data[offset:], seq) >= 0 || offset == 0 {
				return State{}, 0, 0, &CorruptError{logName, int64(offset), "invalid frame that is not a torn tail"}
			}
			break
		}
		if frameSeq != seq+1 {
			return State{}, 0, 0, &CorruptError{logName, int64(offset), fmt.Sprintf("frame %d follows frame %d", frameSeq, seq)}
		}
		if err := state.apply(payload); err != nil {
			return State{}, 0, 0, &CorruptError{logName, int64(offset), err.Error()}
		}
		seq = frameSeq
		offset += size
	}
	if state.Incarnation == 0 {
		return State{}, 0, 0, &CorruptError{logName, 0, "no incarnation record"}
	}
	state.TornBytes = int64(len(data) - offset)
	return state, int64(offset), seq, nil
}
