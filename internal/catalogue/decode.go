package catalogue

import (
	"github.com/galenacart/galenacart/internal/strictjson"
)

// Decode reads and checks a catalogue. file is used in errors only. The error
// is a *strictjson.Faults that lists every fault.
func Decode(file string, data []byte) (*Catalogue, error) {
	if len(data) > MaxBytes {
		return nil, strictjson.TooLarge(file, MaxBytes)
	}
	c := &Catalogue{}
	if err := strictjson.Decode(file, data, c); err != nil {
		return nil, err
	}
	if faults := c.Check(); len(faults) > 0 {
		return nil, &strictjson.Faults{File: file, List: faults}
	}
	return c, nil
}

// ReadFile reads and checks the catalogue in a file.
func ReadFile(file string) (*Catalogue, error) {
	data, err := strictjson.ReadFile(file, MaxBytes)
	if err != nil {
		return nil, err
	}
	return Decode(file, data)
}
