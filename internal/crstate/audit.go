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
// before, oldest first; before 0 means from the end. A subject that isn't
// empty selects the lines of one service, zone or instance.
func (s *State) Audit(before uint64, limit int, subject string) []crwire.Audit {
	lines := s.image.Audit
	if before > 0 {
		i, _ := slices.BinarySearchFunc(lines, before, func(a crwire.Audit, seq uint64) int {
			return int(int64(a.Seq) - int64(seq))
		})
		lines = lines[:i]
	}
	var out []crwire.Audit
	for i := len(lines) - 1; i >= 0 && len(out) < limit; i-- {
		if subject == "" || lines[i].Subject == subject {
			out = append(out, lines[i])
		}
	}
	slices.Reverse(out)
	return out
}
