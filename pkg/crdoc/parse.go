package crdoc

// ParseService decodes and checks a service document. The error is a
// Findings with all that is wrong, in the document's order. Zones that are
// not in zones are reported unless zones is empty.
func ParseService(data []byte, zones []string) (*Service, error) {
	var s Service
	findings, locate := decodeStrict(data, &s)
	return parsed(&s, findings, s.Check(zones), locate)
}

// ParseSettings decodes and checks a settings file. The error is a Findings
// with all that is wrong, in the file's order. read returns the content of a
// file that the settings name; nil leaves these files unchecked.
func ParseSettings(data []byte, read func(file string) ([]byte, error)) (*Settings, error) {
	var s Settings
	findings, locate := decodeStrict(data, &s)
	checks := s.Check()
	if read != nil {
		checks = append(checks, s.CheckFiles(read)...)
	}
	return parsed(&s, findings, checks, locate)
}

// parsed joins what decoding and checking found. A check that concerns a
// place where decoding failed says nothing new and is left out.
func parsed[T any](v *T, decoded, checked Findings, locate func(Findings)) (*T, error) {
	failed := map[string]bool{}
	for _, f := range decoded {
		failed[f.Place] = true
	}
	all := decoded
	for _, f := range checked {
		if !covered(failed, f.Place) {
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

// covered says whether a place or one around it is in failed.
func covered(failed map[string]bool, place string) bool {
	for ; place != ""; place = parent(place) {
		if failed[place] {
			return true
		}
	}
	return failed[""]
}
