package crdoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth is the largest nesting depth of a document.
const maxDepth = 32

// node is a JSON value of a document, with its position.
type node struct {
	// offset is the position of the value's first byte.
	offset int
	// token is the value of a scalar; nil for null, objects and arrays.
	token any
	// fields lists the members of an object in document order, with duplicates.
	fields []field
	// items lists the elements of an array.
	items []node
	// delim is '{' for an object, '[' for an array, 0 for a scalar.
	delim json.Delim
}

// field is one member of an object.
type field struct {
	name   string
	offset int
	value  node
}

// syntaxError describes a JSON syntax error and its position in bytes.
type syntaxError struct {
	offset int
	text   string
}

// Error returns the description without the position.
func (e *syntaxError) Error() string { return e.text }

// treeParser parses a document into nodes.
type treeParser struct {
	data []byte
	dec  *json.Decoder
}

// parseTree parses exactly one JSON value. Its errors are of type *syntaxError.
// On an error, the node holds the values parsed before the error.
func parseTree(data []byte) (node, error) {
	p := &treeParser{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	root, err := p.value(0)
	if err != nil {
		return root, err
	}
	end := p.nextOffset()
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return root, &syntaxError{offset: end, text: "unexpected data after the end of the document"}
	}
	return root, nil
}

// nextOffset returns the offset of the next value or opening or closing bracket.
func (p *treeParser) nextOffset() int {
	i := int(p.dec.InputOffset())
	for i < len(p.data) && bytes.IndexByte([]byte(" \t\r\n,:"), p.data[i]) >= 0 {
		i++
	}
	return i
}

// token reads one token.
func (p *treeParser) token() (json.Token, error) {
	offset := p.nextOffset()
	tok, err := p.dec.Token()
	if err == nil {
		return tok, nil
	}
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, &syntaxError{offset: len(p.data), text: "unexpected end of document"}
	case errors.As(err, &syntax):
		return nil, &syntaxError{offset: offset, text: syntax.Error()}
	default:
		return nil, &syntaxError{offset: offset, text: err.Error()}
	}
}

// value parses one value; depth is its nesting depth.
func (p *treeParser) value(depth int) (node, error) {
	n := node{offset: p.nextOffset()}
	if depth > maxDepth {
		return n, &syntaxError{offset: n.offset, text: fmt.Sprintf("nested deeper than %d", maxDepth)}
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
	n.delim = delim
	for p.dec.More() {
		if err := p.child(&n, depth+1); err != nil {
			return n, err
		}
	}
	_, err = p.token()
	return n, err
}

// child parses the next element of an array or member of an object into n; depth
// is the child's nesting depth.
func (p *treeParser) child(n *node, depth int) error {
	if n.delim == '[' {
		item, err := p.value(depth)
		n.items = append(n.items, item)
		return err
	}
	f := field{offset: p.nextOffset()}
	tok, err := p.token()
	if err != nil {
		return err
	}
	name, ok := tok.(string)
	if !ok {
		return &syntaxError{offset: f.offset, text: "want a field name"}
	}
	f.name = name
	f.value, err = p.value(depth)
	n.fields = append(n.fields, f)
	return err
}

// typeName returns the value's JSON type as findings name it.
func (n *node) typeName() string {
	switch n.token.(type) {
	case string:
		return "a text"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	}
	switch n.delim {
	case '{':
		return "an object"
	case '[':
		return "a list"
	default:
		return "null"
	}
}
