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

// binder sets a struct from a document's nodes. It goes on after a finding,
// so that all findings come at once.
type binder struct {
	findings Findings
	// places maps the path of each value to its offset.
	places map[string]int
}

// decodeStrict reads one JSON object into v, a pointer to a struct. It
// refuses unknown and duplicate fields, wrong types and anything after the
// value. locate gives findings their line and column.
func decodeStrict(data []byte, v any) (findings Findings, locate func(Findings)) {
	b := &binder{places: map[string]int{}}
	locate = func(f Findings) { b.locate(data, f) }
	root, err := parseTree(data)
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		b.places[""] = syntax.offset
		b.findings.Add("", "%s", syntax.text)
		return b.findings, locate
	}
	b.bind("", &root, reflect.ValueOf(v).Elem())
	return b.findings, locate
}

// locate sets the line and column of findings by their place, or by the
// nearest place around it.
func (b *binder) locate(data []byte, findings Findings) {
	for i := range findings {
		place := findings[i].Place
		offset, ok := b.places[place]
		for !ok && place != "" {
			place = parent(place)
			offset, ok = b.places[place]
		}
		before := data[:offset]
		findings[i].Line = 1 + bytes.Count(before, []byte("\n"))
		findings[i].Column = offset - bytes.LastIndexByte(before, '\n')
	}
}

// bind sets v from a node.
func (b *binder) bind(place string, n *node, v reflect.Value) {
	b.places[place] = n.offset
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		b.bindText(place, n, text)
		return
	}
	null := n.open == 0 && n.token == nil
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

// bindText sets a type that reads itself from text.
func (b *binder) bindText(place string, n *node, v encoding.TextUnmarshaler) {
	text, ok := n.token.(string)
	if !ok {
		b.findings.Add(place, "want a text, found %s", n.kind())
		return
	}
	if err := v.UnmarshalText([]byte(text)); err != nil {
		b.findings.Add(place, "%v", err)
	}
}

// bindStruct sets a struct's fields by their json names.
func (b *binder) bindStruct(place string, n *node, v reflect.Value) {
	if n.open != '{' {
		b.findings.Add(place, "want an object, found %s", n.kind())
		return
	}
	index := fieldIndex(v.Type())
	seen := map[string]bool{}
	for i := range n.fields {
		f := &n.fields[i]
		at := join(place, f.name)
		switch number, known := index[f.name]; {
		case !known:
			b.places[at] = f.offset
			b.findings.Add(at, "unknown field")
		case seen[f.name]:
			b.places[at] = f.offset
			b.findings.Add(at, "the field stands twice")
		default:
			b.bind(at, &f.value, v.Field(number))
		}
		seen[f.name] = true
	}
}

// bindSlice sets a list.
func (b *binder) bindSlice(place string, n *node, v reflect.Value) {
	if n.open != '[' {
		b.findings.Add(place, "want a list, found %s", n.kind())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i := range n.items {
		b.bind(fmt.Sprintf("%s[%d]", place, i), &n.items[i], v.Index(i))
	}
}

// bindMap sets a map whose keys are texts or whole numbers.
func (b *binder) bindMap(place string, n *node, v reflect.Value) {
	if n.open != '{' {
		b.findings.Add(place, "want an object, found %s", n.kind())
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
			b.findings.Add(at, "the field stands twice")
			continue
		}
		v.SetMapIndex(key, value)
	}
}

// setKey sets a map's key from a field's name.
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

// fieldIndex maps the json names of a struct's fields to their numbers.
func fieldIndex(t reflect.Type) map[string]int {
	index := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		index[name] = i
	}
	return index
}

// join returns the path of a field.
func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

// parent returns the path around a place.
func parent(place string) string {
	return place[:max(strings.LastIndexAny(place, ".["), 0)]
}
