package crstate

import (
	"slices"

	"cardamomring.dev/internal/crwire"
)

const (
	// maxAuditLines is the number of audit lines kept.
	maxAuditLines = 10_000
	// auditTrimLines is the number of oldest lines that are removed at a time,
	// once the trail exceeds maxAuditLines by that number.
	auditTrimLines = 256
)

// appendAudit adds an audit line with the result of a change.
func (s *State) appendAudit(line crwire.Audit, result crwire.Result) {
	s.AuditSeq++
	line.Seq = s.AuditSeq
	line.Revision, line.Code, line.Text = result.Revision, result.Code, result.Text
	s.persisted.Audit = append(s.persisted.Audit, line)
	if len(s.persisted.Audit) >= maxAuditLines+auditTrimLines {
		s.persisted.Audit = slices.Clone(s.persisted.Audit[auditTrimLines:])
	}
}

// Audit returns the latest limit audit lines with a sequence number below
// before, oldest first. If before is 0, there is no upper bound. If subject is
// not empty, only the lines of that service, zone or instance are returned.
func (s *State) Audit(before uint64, limit int, subject string) []crwire.Audit {
	lines := s.persisted.Audit
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
