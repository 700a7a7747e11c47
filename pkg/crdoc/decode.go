package crdoc

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// binder sets a struct's fields from a document's nodes. It continues after a
// finding, so that one pass returns all of them.
type binder struct {
	findings Findings
	// offsets maps the path of each value to its offset in bytes.
	offsets map[string]int
}

// decodeStrict decodes one JSON object into v, a pointer to a struct. It
// reports unknown and duplicate fields, wrong types and data after the object.
// The returned function locate sets the line and column of findings.
func decodeStrict(data []byte, v any) (findings Findings, locate func(Findings)) {
	b := &binder{offsets: map[string]int{}}
	locate = func(f Findings) { b.locate(data, f) }
	root, err := parseTree(data)
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		b.offsets[""] = syntax.offset
		b.findings.Add("", "%s", syntax.text)
		return b.findings, locate
	}
	b.bind("", &root, reflect.ValueOf(v).Elem())
	return b.findings, locate
}

// locate sets the line and column of findings from the offset of their place,
// or of the nearest enclosing place that the document has.
func (b *binder) locate(data []byte, findings Findings) {
	for i := range findings {
		place := findings[i].Place
		offset, ok := b.offsets[place]
		for !ok && place != "" {
			place = parentPlace(place)
			offset, ok = b.offsets[place]
		}
		before := data[:offset]
		findings[i].Line = 1 + bytes.Count(before, []byte("\n"))
		findings[i].Column = offset - bytes.LastIndexByte(before, '\n')
	}
}

// bind sets v from a node and records the node's offset.
func (b *binder) bind(place string, n *node, v reflect.Value) {
	b.offsets[place] = n.offset
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		b.bindText(place, n, text)
		return
	}
	null := n.delim == 0 && n.token == nil
	switch v.Kind() {
	case reflect.Pointer:
		if !null {
			v.Set(reflect.New(v.Type().Elem()))
			b.bind(place, n, v.Elem())
		}
	case reflect.Struct:
		b.bindStruct(place, n, v)
	case reflect.Slice:
		if !null {
			b.bindSlice(place, n, v)
		}
	case reflect.Map:
		if !null {
			b.bindMap(place, n, v)
		}
	default:
		b.bindScalar(place, n, v)
	}
}

// bindText sets v, which implements encoding.TextUnmarshaler, from a string.
func (b *binder) bindText(place string, n *node, v encoding.TextUnmarshaler) {
	text, ok := n.token.(string)
	if !ok {
		b.findings.Add(place, "want a text, found %s", n.typeName())
		return
	}
	if err := v.UnmarshalText([]byte(text)); err != nil {
		b.findings.Add(place, "%v", err)
	}
}

// bindStruct sets a struct's fields by the names in their json tags.
func (b *binder) bindStruct(place string, n *node, v reflect.Value) {
	if n.delim != '{' {
		b.findings.Add(place, "want an object, found %s", n.typeName())
		return
	}
	index := fieldIndex(v.Type())
	seen := map[string]bool{}
	for i := range n.fields {
		f := &n.fields[i]
		at := joinPlace(place, f.name)
		switch number, known := index[f.name]; {
		case !known:
			b.offsets[at] = f.offset
			b.findings.Add(at, "unknown field")
		case seen[f.name]:
			b.offsets[at] = f.offset
			b.findings.Add(at, "duplicate field")
		default:
			b.bind(at, &f.value, v.Field(number))
		}
		seen[f.name] = true
	}
}

// bindSlice sets a slice from an array.
func (b *binder) bindSlice(place string, n *node, v reflect.Value) {
	if n.delim != '[' {
		b.findings.Add(place, "want a list, found %s", n.typeName())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i := range n.items {
		b.bind(fmt.Sprintf("%s[%d]", place, i), &n.items[i], v.Index(i))
	}
}

// bindMap sets a map whose keys are strings or unsigned integers.
func (b *binder) bindMap(place string, n *node, v reflect.Value) {
	if n.delim != '{' {
		b.findings.Add(place, "want an object, found %s", n.typeName())
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for i := range n.fields {
		f := &n.fields[i]
		at := fmt.Sprintf("%s[%q]", place, f.name)
		key := reflect.New(v.Type().Key()).Elem()
		value := reflect.New(v.Type().Elem()).Elem()
		b.bind(at, &f.value, value)
		if !setKey(key, f.name) {
			b.findings.Add(at, "the name must be a whole number from 0")
			continue
		}
		if v.MapIndex(key).IsValid() {
			b.findings.Add(at, "duplicate field")
			continue
		}
		v.SetMapIndex(key, value)
	}
}

// setKey sets a map key from a field name and reports whether the name is valid.
func setKey(key reflect.Value, name string) bool {
	if key.Kind() == reflect.String {
		key.SetString(name)
		return true
	}
	number, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return false
	}
	key.SetUint(number)
	return true
}

// fieldIndex maps the json names of a struct's fields to their indexes.
func fieldIndex(t reflect.Type) map[string]int {
	index := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		index[name] = i
	}
	return index
}

// joinPlace returns the path of a field within place.
func joinPlace(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

// parentPlace returns the path of the value that contains place.
func parentPlace(place string) string {
	return place[:max(strings.LastIndexAny(place, ".["), 0)]
}
