package crstore

import "fmt"

// Decode reads a log file. It returns the state, where the last whole frame
// ends, and that frame's sequence.
func Decode(data []byte) (state State, end int64, seq uint64, err error) {
	at := 0
	for at < len(data) {
		payload, found, size, ok := readFrame(data[at:])
		if !ok {
			if laterFrame(data[at:], seq) >= 0 || at == 0 {
				return State{}, 0, 0, &CorruptError{logName, int64(at), "bad frame before good ones"}
			}
			break
		}
		if found != seq+1 {
			return State{}, 0, 0, &CorruptError{logName, int64(at), fmt.Sprintf("frame %d follows frame %d", found, seq)}
		}
		if err := state.apply(payload); err != nil {
			return State{}, 0, 0, &CorruptError{logName, int64(at), err.Error()}
		}
		seq = found
		at += size
	}
	if state.Incarnation == 0 {
		return State{}, 0, 0, &CorruptError{logName, 0, "no incarnation"}
	}
	state.TornBytes = int64(len(data) - at)
	return state, int64(at), seq, nil
}
