package crdoc

import (
	"encoding/json"
	"reflect"
	"strconv"
)

// bindScalar sets a string, a number or a boolean.
func (b *binder) bindScalar(place string, n *node, v reflect.Value) {
	want := "a text"
	ok := false
	switch v.Kind() {
	case reflect.String:
		var text string
		if text, ok = n.token.(string); ok {
			v.SetString(text)
		}
	case reflect.Bool:
		want = "true or false"
		var truth bool
		if truth, ok = n.token.(bool); ok {
			v.SetBool(truth)
		}
	default:
		want = "a number"
		var number json.Number
		if number, ok = n.token.(json.Number); ok {
			b.bindNumber(place, number, v)
		}
	}
	if !ok {
		b.findings.Add(place, "want %s, found %s", want, n.typeName())
	}
}

// bindNumber sets a number, and reports one that its type can't hold.
func (b *binder) bindNumber(place string, number json.Number, v reflect.Value) {
	var err error
	want := "want a number"
	switch v.Kind() {
	case reflect.Float64:
		var f float64
		f, err = number.Float64()
		v.SetFloat(f)
	case reflect.Uint64:
		want = "want a whole number from 0"
		var u uint64
		u, err = strconv.ParseUint(number.String(), 10, 64)
		v.SetUint(u)
	default:
		want = "want a whole number"
		var i int64
		i, err = number.Int64()
		v.SetInt(i)
	}
	if err != nil {
		b.findings.Add(place, "%s, found %s", want, number)
	}
}
