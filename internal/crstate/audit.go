package crstate

import (
	"slices"

	"cardamomring.dev/internal/crwire"
)

const (
	// auditMax is how many audit lines are kept.
	auditMax = 10_000
	// auditSlack is how many lines beyond auditMax are cut at a time.
	auditSlack = 256
)

// record writes an audit line for a change that was answered.
func (s *State) record(line crwire.Audit, result crwire.Result) {
	s.Seq++
	line.Seq = s.Seq
	line.Revision, line.Code, line.Text = result.Revision, result.Code, result.Text
	s.image.Audit = append(s.image.Audit, line)
	if len(s.image.Audit) >= auditMax+auditSlack {
		s.image.Audit = slices.Clone(s.image.Audit[auditSlack:])
	}
}

// Audit returns at most limit audit lines that come before line number
// before, oldest first; before 0 means from the end.
func (s *State) Audit(before uint64, limit int) []crwire.Audit {
	lines := s.image.Audit
	if before > 0 {
		i, _ := slices.BinarySearchFunc(lines, before, func(a crwire.Audit, seq uint64) int {
			return int(int64(a.Seq) - int64(seq))
		})
		lines = lines[:i]
	}
	return slices.Clone(lines[max(0, len(lines)-limit):])
}
