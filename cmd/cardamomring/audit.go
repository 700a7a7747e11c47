package main

import (
	"context"
	"fmt"
	"io"
	"time"
)

// auditArgs are the arguments of audit.
type auditArgs struct {
	operatorArgs
	Before  uint64 `arg:"--before" placeholder:"LINE" help:"print the lines before this one"`
	Subject string `arg:"-s,--subject" placeholder:"NAME" help:"print the lines of this service, zone or instance only"`
	Limit   int    `arg:"-n,--limit" default:"50" help:"print at most this many lines"`
}

// runAudit prints the audit trail, oldest first.
func runAudit(ctx context.Context, a *auditArgs, out, errOut io.Writer) int {
	return runOperator(ctx, &a.operatorArgs, out, errOut, func(ctx context.Context, o *operator) int {
		lines, err := o.client.Audit(ctx, a.Before, a.Limit, a.Subject)
		if err != nil {
			return o.printError(err)
		}
		if o.Output == outputJSON {
			return o.printJSON(lines)
		}
		rows := [][]string{{"LINE", "TIME", "AUTHOR", "CHANGE", "SUBJECT", "FROM", "TO", "REVISION", "ANSWER"}}
		for _, l := range lines {
			rows = append(rows, []string{
				fmt.Sprint(l.Seq), l.Time.Format(time.RFC3339), l.Author, l.Kind.String(), l.Subject,
				fmt.Sprint(l.From), fmt.Sprint(l.To), fmt.Sprint(l.Revision), l.Code.String(),
			})
		}
		return o.printTable(rows)
	})
}
