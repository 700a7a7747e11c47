package main

import (
	"fmt"
	"io"
	"time"

	"cardamomring.dev/internal/crkeys"
)

// keysArgs are the arguments of keys.
type keysArgs struct {
	CA     *caArgs     `arg:"subcommand:ca" help:"make a certificate authority: DIR/ca.pem and DIR/ca-key.pem"`
	Issue  *issueArgs  `arg:"subcommand:issue" help:"issue a certificate: DIR/NAME.pem and DIR/NAME-key.pem"`
	Secret *secretArgs `arg:"subcommand:secret" help:"make a secret that seals connection IDs"`
}

// caArgs are the arguments of keys ca.
type caArgs struct {
	Dir string `arg:"positional,required" placeholder:"DIR"`
}

// issueArgs are the arguments of keys issue.
type issueArgs struct {
	Dir  string   `arg:"positional,required" placeholder:"DIR" help:"folder of the authority"`
	Name string   `arg:"positional,required" placeholder:"NAME" help:"name of the process or service"`
	Host []string `arg:"--host,separate" placeholder:"HOST" help:"IP number or host name that it proves; may stand more than once"`
}

// secretArgs are the arguments of keys secret.
type secretArgs struct {
	File string `arg:"positional,required" placeholder:"FILE"`
}

// runKeys makes a certificate authority, a certificate or a secret. It never
// overwrites a file.
func runKeys(a *keysArgs, errOut io.Writer) int {
	var err error
	switch {
	case a.CA != nil:
		err = crkeys.WriteAuthority(a.CA.Dir, time.Now())
	case a.Issue != nil:
		err = crkeys.WriteCert(a.Issue.Dir, a.Issue.Name, a.Issue.Host, time.Now())
	case a.Secret != nil:
		err = crkeys.WriteSecret(a.Secret.File)
	default:
		fmt.Fprintln(errOut, "keys: want ca, issue or secret")
		return exitUsage
	}
	if err != nil {
		fmt.Fprintf(errOut, "keys: %v\n", err)
		return exitFailed
	}
	return exitOK
}
