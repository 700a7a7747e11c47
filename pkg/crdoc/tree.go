package crdoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// depthMax bounds how deep a document nests.
const depthMax = 32

// node is one JSON value of a document, with where it stands.
type node struct {
	// offset is where the value begins, in bytes.
	offset int
	// token is the value of a scalar; nil for null.
	token any
	// fields are the members of an object, in order and with duplicates.
	fields []field
	// items are the elements of an array.
	items []node
	// open is '{' for an object, '[' for an array, 0 for a scalar.
	open json.Delim
}

// field is one member of an object.
type field struct {
	name   string
	offset int
	value  node
}

// syntaxError says why a text is no JSON document, and where.
type syntaxError struct {
	offset int
	text   string
}

// Error says what is wrong.
func (e *syntaxError) Error() string { return e.text }

// treeParser reads a document into nodes.
type treeParser struct {
	data []byte
	dec  *json.Decoder
}

// parseTree reads exactly one JSON value; its errors are *syntaxError. On an
// error the node holds what was read until then.
func parseTree(data []byte) (node, error) {
	p := &treeParser{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	root, err := p.value(0)
	if err != nil {
		return root, err
	}
	end := p.next()
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return root, &syntaxError{offset: end, text: "data after the document's end"}
	}
	return root, nil
}

// next returns where the next value or delimiter begins.
func (p *treeParser) next() int {
	i := int(p.dec.InputOffset())
	for i < len(p.data) && bytes.IndexByte([]byte(" \t\r\n,:"), p.data[i]) >= 0 {
		i++
	}
	return i
}

// token reads one token.
func (p *treeParser) token() (json.Token, error) {
	offset := p.next()
	tok, err := p.dec.Token()
	if err == nil {
		return tok, nil
	}
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, &syntaxError{offset: len(p.data), text: "the document ends too early"}
	case errors.As(err, &syntax):
		return nil, &syntaxError{offset: offset, text: syntax.Error()}
	default:
		return nil, &syntaxError{offset: offset, text: err.Error()}
	}
}

// value reads one value at a depth.
func (p *treeParser) value(depth int) (node, error) {
	n := node{offset: p.next()}
	if depth > depthMax {
		return n, &syntaxError{offset: n.offset, text: fmt.Sprintf("nested deeper than %d", depthMax)}
	}
	tok, err := p.token()
	if err != nil {
		return n, err
	}
	delim, ok := tok.(json.Delim)
	if !ok {
		n.token = tok
		return n, nil
	}
	n.open = delim
	for p.dec.More() {
		if err := p.member(&n, depth+1); err != nil {
			return n, err
		}
	}
	_, err = p.token()
	return n, err
}

// member reads one element or member into n.
func (p *treeParser) member(n *node, depth int) error {
	if n.open == '[' {
		item, err := p.value(depth)
		n.items = append(n.items, item)
		return err
	}
	f := field{offset: p.next()}
	tok, err := p.token()
	if err != nil {
		return err
	}
	name, ok := tok.(string)
	if !ok {
		return &syntaxError{offset: f.offset, text: "want a field's name"}
	}
	f.name = name
	f.value, err = p.value(depth)
	n.fields = append(n.fields, f)
	return err
}

// kind names the value for people.
func (n *node) kind() string {
	switch n.token.(type) {
	case string:
		return "a text"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	}
	switch n.open {
	case '{':
		return "an object"
	case '[':
		return "a list"
	default:
		return "null"
	}
}
