package strictjson

// DecodeChecked decodes a document and checks its contents. check returns the faults
// that the types of the fields don't reveal. The error is a *Faults that lists every
// fault.
func DecodeChecked[T any](file string, data []byte, check func(*T) []Fault) (*T, error) {
	document := new(T)
	if err := Decode(file, data, document); err != nil {
		return nil, err
	}
	if faults := check(document); len(faults) > 0 {
		return nil, &Faults{File: file, List: faults}
	}
	return document, nil
}

// Load reads a file of at most limit bytes and decodes it.
func Load[T any](file string, limit int64, decode func(file string, data []byte) (*T, error)) (*T, error) {
	data, err := ReadFile(file, limit)
	if err != nil {
		return nil, err
	}
	return decode(file, data)
}
