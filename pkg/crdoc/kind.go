package crdoc

import (
	"reflect"
)

// Kind is the kind of a document.
type Kind int

const (
	// KindUnknown is neither.
	KindUnknown Kind = iota
	// KindService is a service document.
	KindService
	// KindSettings is the settings file of a process.
	KindSettings
)

// KindOf tells the kind of a document by its field names: the kind that has
// more of them. A document that breaks off is told by what stands before.
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
