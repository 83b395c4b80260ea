package catalogue

import (
	"github.com/galenacart/galenacart/internal/strictjson"
)

// Decode decodes and checks a catalogue. file is used in errors only. The error
// is a *strictjson.Faults that lists every fault.
func Decode(file string, data []byte) (*Catalogue, error) {
	if len(data) > MaxBytes {
		return nil, strictjson.TooLargeError(file, MaxBytes)
	}
	return strictjson.DecodeChecked(file, data, (*Catalogue).Check)
}

// ReadFile reads and checks the catalogue in a file.
func ReadFile(file string) (*Catalogue, error) {
	return strictjson.Load(file, MaxBytes, Decode)
}
