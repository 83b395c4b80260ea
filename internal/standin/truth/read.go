package truth

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// Read returns the records of one log. It ignores a last line without a newline,
// which a process leaves when it is killed during a write.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	in := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, err := in.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read line %d", number)
		}
		var record Record
		if err := json.Unmarshal(bytes.TrimSpace(line), &record); err != nil {
			return nil, errors.Wrapf(err, "decode line %d", number)
		}
		records = append(records, record)
	}
}

// ReadFiles returns the records of several logs, ordered by wall clock.
func ReadFiles(files ...string) ([]Record, error) {
	var all []Record
	for _, file := range files {
		records, err := readFile(file)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	slices.SortStableFunc(all, func(a, b Record) int {
		switch {
		case a.WallNs < b.WallNs:
			return -1
		case a.WallNs > b.WallNs:
			return 1
		default:
			return 0
		}
	})
	return all, nil
}

func readFile(file string) ([]Record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrapf(err, "open truth file %s", file)
	}
	defer func() { _ = f.Close() }() // read-only
	records, err := Read(f)
	return records, errors.Wrapf(err, "truth file %s", file)
}
