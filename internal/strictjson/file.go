package strictjson

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// ReadFile reads a file of at most limit bytes. For a larger one the error is a
// *Faults.
func ReadFile(file string, limit int64) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	defer func() { _ = f.Close() }() // opened for reading only
	data, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	if int64(len(data)) > limit {
		return nil, TooLargeError(file, limit)
	}
	return data, nil
}

// TooLargeError returns the error for a document larger than its limit in bytes.
func TooLargeError(file string, limit int64) error {
	reason := fmt.Sprintf("the document is too large; want at most %d bytes", limit)
	return &Faults{File: file, List: []Fault{{Reason: reason}}}
}
