package crdoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// decodeStrict reads one JSON value into v and refuses unknown fields and
// anything after the value.
func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode: data after the document's end")
	}
	return nil
}

// ParseService decodes and checks a service document. The error is a
// Findings. Zones that are not in zones are reported unless zones is empty.
func ParseService(data []byte, zones []string) (*Service, error) {
	var s Service
	var f Findings
	if err := decodeStrict(data, &s); err != nil {
		f.Add("", "%v", err)
		return nil, f
	}
	f = append(f, s.Check(zones)...)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// ParseSettings decodes and checks a settings file. The error is a Findings.
func ParseSettings(data []byte) (*Settings, error) {
	var s Settings
	var f Findings
	if err := decodeStrict(data, &s); err != nil {
		f.Add("", "%v", err)
		return nil, f
	}
	f = append(f, s.Check()...)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}
