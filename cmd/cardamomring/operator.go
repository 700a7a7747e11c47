package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// Output formats of the verbs for operators.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// operatorArgs are the arguments that all verbs for operators have in common.
type operatorArgs struct {
	Control   []string      `arg:"--control,env:CARDAMOMRING_CONTROL" placeholder:"HOST:PORT" help:"control instances"`
	TokenFile string        `arg:"--token-file,env:CARDAMOMRING_TOKEN_FILE" placeholder:"FILE" help:"file that holds the operator's token"`
	Operator  string        `arg:"--operator,env:CARDAMOMRING_OPERATOR" placeholder:"NAME" help:"name to show where control admits every operator"`
	Cert      string        `arg:"--cert" placeholder:"FILE" help:"operator's certificate, PEM"`
	Key       string        `arg:"--key" placeholder:"FILE" help:"its private key, PEM"`
	CA        string        `arg:"--ca,env:CARDAMOMRING_CA" placeholder:"FILE" help:"certificates that sign control's, PEM; calls TLS"`
	Output    string        `arg:"-o,--output" default:"table" help:"table or json"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"time to wait for a quorum"`
}

// operator runs one verb for operators.
type operator struct {
	*operatorArgs
	client *croper.Client
	out    io.Writer
	errOut io.Writer
}

// runOperator runs a verb with an open client and returns the exit code of the verb.
func runOperator(ctx context.Context, a *operatorArgs, out, errOut io.Writer, verb func(context.Context, *operator) int) int {
	client, err := a.newClient()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	client.Open()
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return verb(ctx, &operator{operatorArgs: a, client: client, out: out, errOut: errOut})
}

// newClient returns a client as the arguments describe it.
func (a *operatorArgs) newClient() (*croper.Client, error) {
	if len(a.Control) == 0 {
		return nil, errors.New("name the control instances with --control or CARDAMOMRING_CONTROL")
	}
	if a.Output != outputTable && a.Output != outputJSON {
		return nil, fmt.Errorf("output %q: want table or json", a.Output)
	}
	client := &croper.Client{Control: a.Control, Operator: a.Operator}
	if a.TokenFile != "" {
		data, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read the token: %w", err)
		}
		client.Token = strings.TrimSpace(string(data))
	}
	return client, a.setUpTLS(client)
}

// printError prints an error and returns the exit code.
func (o *operator) printError(err error) int {
	fmt.Fprintln(o.errOut, err)
	return exitFailed
}

// printJSON prints a value as JSON and returns the exit code.
func (o *operator) printJSON(v any) int {
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return o.printError(err)
	}
	return exitOK
}

// printTable prints rows in columns and returns the exit code. The first row holds
// the column heads.
func (o *operator) printTable(rows [][]string) int {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return o.printError(err)
	}
	return exitOK
}

// document is a service document and the file that holds it.
type document struct {
	file string
	doc  *crdoc.Service
}

// readDocuments reads service documents from files and directories. It returns the
// documents without findings, and all findings.
func readDocuments(paths []string) ([]document, crdoc.Findings, error) {
	files, err := listFiles(paths)
	if err != nil {
		return nil, nil, err
	}
	var docs []document
	c := &checker{args: &checkArgs{Kind: crdoc.KindService}, services: map[string]*crdoc.Service{}}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, fmt.Errorf("read a document: %w", err)
		}
		findingsBefore := len(c.findings)
		c.checkService(file, data)
		if len(c.findings) > findingsBefore {
			continue
		}
		doc, err := crdoc.ParseService(data, nil)
		if err != nil {
			return nil, nil, err
		}
		docs = append(docs, document{file: file, doc: doc})
	}
	return docs, c.findings, nil
}

// runDocuments reads service documents and calls do with them and the view in force.
// It doesn't call do when a document has findings.
func runDocuments(
	ctx context.Context, a *operatorArgs, files []string, out, errOut io.Writer,
	do func(ctx context.Context, o *operator, docs []document, view *croper.View) int,
) int {
	docs, findings, err := readDocuments(files)
	if err == nil {
		err = findings.Err()
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return runOperator(ctx, a, out, errOut, func(ctx context.Context, o *operator) int {
		view, err := o.client.View(ctx)
		if err != nil {
			return o.printError(err)
		}
		return do(ctx, o, docs, view)
	})
}
