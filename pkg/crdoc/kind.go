package crdoc

import (
	"reflect"
)

// Kind is the kind of a document.
type Kind int

const (
	// KindUnknown is a document of no known kind.
	KindUnknown Kind = iota
	// KindService is a service document.
	KindService
	// KindSettings is a process's settings file.
	KindSettings
)

// KindOf returns the kind of a document, which it determines by counting the
// top-level field names of each kind. In a document with a syntax error it
// counts the fields before the error. It returns KindUnknown on equal counts.
func KindOf(data []byte) Kind {
	root, _ := parseTree(data)
	service := fieldIndex(reflect.TypeFor[Service]())
	settings := fieldIndex(reflect.TypeFor[Settings]())
	score := 0
	for i := range root.fields {
		if _, ok := service[root.fields[i].name]; ok {
			score++
		}
		if _, ok := settings[root.fields[i].name]; ok {
			score--
		}
	}
	switch {
	case score > 0:
		return KindService
	case score < 0:
		return KindSettings
	default:
		return KindUnknown
	}
}
