package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"cardamomring.dev/pkg/crdoc"
)

// checkArgs are the arguments of check.
type checkArgs struct {
	Files []string   `arg:"positional,required" placeholder:"FILE" help:"files, or directories whose *.json files are checked"`
	Kind  crdoc.Kind `arg:"-k,--kind" placeholder:"KIND" help:"service or settings; told by each file's fields when absent"`
	Zones []string   `arg:"-z,--zones" placeholder:"ZONE" help:"all availability zones; taken from the settings files when absent"`
}

// checker checks a set of files, each by itself and against the others.
type checker struct {
	args     *checkArgs
	findings crdoc.Findings
	// services holds the checked service documents by name.
	services map[string]*crdoc.Service
	// settingsFiles maps the process name in each settings file to the file.
	settingsFiles map[string]string
}

// runCheck checks files without starting anything.
func runCheck(a *checkArgs, out, errOut io.Writer) int {
	files, err := listFiles(a.Files)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	c := &checker{args: a, services: map[string]*crdoc.Service{}, settingsFiles: map[string]string{}}
	c.checkAll(files)
	if err := c.findings.Err(); err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	fmt.Fprintf(out, "%d files, no findings\n", len(files))
	return exitOK
}

// listFiles returns the given files and the *.json files within the given
// directories.
func listFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if !entry.IsDir() && (file == path || filepath.Ext(file) == ".json") {
				files = append(files, file)
			}
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("check: %w", err)
		}
	}
	if len(files) == 0 {
		return nil, errors.New("check: no *.json file found")
	}
	return files, nil
}

// checkAll checks all files. Settings files come first because they list the zones
// that service documents are checked against.
func (c *checker) checkAll(files []string) {
	documents := map[string][]byte{}
	var order []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			c.addFinding(file, crdoc.Finding{Text: err.Error()})
			continue
		}
		switch c.kindOf(data) {
		case crdoc.KindService:
			documents[file] = data
			order = append(order, file)
		case crdoc.KindSettings:
			c.checkSettings(file, data)
		default:
			c.addFinding(file, crdoc.Finding{Text: "neither a service document nor a settings file; name the kind with --kind"})
		}
	}
	for _, file := range order {
		c.checkService(file, documents[file])
	}
}

// kindOf returns the kind of a file.
func (c *checker) kindOf(data []byte) crdoc.Kind {
	if c.args.Kind != crdoc.KindUnknown {
		return c.args.Kind
	}
	return crdoc.KindOf(data)
}

// checkSettings checks a settings file.
func (c *checker) checkSettings(file string, data []byte) {
	s, err := crdoc.ParseSettings(data, os.ReadFile)
	if err != nil {
		c.addParseError(file, err)
		return
	}
	if first, ok := c.settingsFiles[s.Name]; ok {
		c.addFinding(file, crdoc.Finding{Place: "name", Text: fmt.Sprintf("%q is also the name in %s", s.Name, first)})
	}
	c.settingsFiles[s.Name] = file
	if len(c.args.Zones) == 0 {
		c.args.Zones = s.Zones
	}
}

// checkService checks a service document by itself and against the documents that
// were checked before it.
func (c *checker) checkService(file string, data []byte) {
	s, err := crdoc.ParseService(data, c.args.Zones)
	if err != nil {
		c.addParseError(file, err)
		return
	}
	if _, ok := c.services[s.Name]; ok {
		c.addFinding(file, crdoc.Finding{Place: "name", Text: fmt.Sprintf("service %q has another document", s.Name)})
	}
	others := make([]*crdoc.Service, 0, len(c.services))
	for _, other := range c.services {
		others = append(others, other)
	}
	for _, f := range s.CheckAgainst(others) {
		c.addFinding(file, f)
	}
	c.services[s.Name] = s
}

// addFinding adds a finding in a file.
func (c *checker) addFinding(file string, f crdoc.Finding) {
	f.File = file
	c.findings = append(c.findings, f)
}

// addParseError adds the findings of a failed parse.
func (c *checker) addParseError(file string, err error) {
	var findings crdoc.Findings
	if !errors.As(err, &findings) {
		findings.Add("", "%v", err)
	}
	c.findings = append(c.findings, findings.WithFile(file)...)
}
