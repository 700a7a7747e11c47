package crdoc

// ParseService decodes and checks a service document. Its error is a Findings
// with all errors in the document, in the document's order. It also reports
// zones of the document that are not listed in zones, unless zones is empty.
func ParseService(data []byte, zones []string) (*Service, error) {
	var s Service
	findings, locate := decodeStrict(data, &s)
	return parseResult(&s, findings, s.Check(zones), locate)
}

// ParseSettings decodes and checks a settings file. Its error is a Findings with
// all errors in the file, in the file's order. read returns the content of a
// file named in the settings; with a nil read, these files aren't checked.
func ParseSettings(data []byte, read func(file string) ([]byte, error)) (*Settings, error) {
	var s Settings
	findings, locate := decodeStrict(data, &s)
	checks := s.Check()
	if read != nil {
		checks = append(checks, s.CheckFiles(read)...)
	}
	return parseResult(&s, findings, checks, locate)
}

// parseResult returns v, or the findings of decoding and checking as an error.
// It omits findings of checks at places where decoding failed, as they only
// follow from that failure.
func parseResult[T any](v *T, decoded, checked Findings, locate func(Findings)) (*T, error) {
	failed := map[string]bool{}
	for _, f := range decoded {
		failed[f.Place] = true
	}
	all := decoded
	for _, f := range checked {
		if !inFailedPlace(failed, f.Place) {
			all = append(all, f)
		}
	}
	locate(all)
	all.Sort()
	if err := all.Err(); err != nil {
		return nil, err
	}
	return v, nil
}

// inFailedPlace reports whether failed contains place or a place that encloses it.
func inFailedPlace(failed map[string]bool, place string) bool {
	for ; place != ""; place = parentPlace(place) {
		if failed[place] {
			return true
		}
	}
	return failed[""]
}
