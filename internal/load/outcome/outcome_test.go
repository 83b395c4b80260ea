package outcome

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWriteAndReadFile(t *testing.T) {
	c := &Collector{}
	c.Add(Outcome{Request: "a", Result: Refused, Kind: "overloaded", Ran: "no", Sends: 2})
	c.Add(Outcome{Request: "b", Result: Complete, Ran: "yes", Sends: 1, LatencyNs: 5})
	file := filepath.Join(t.TempDir(), "answers.jsonl")
	f, err := os.Create(file)
	require.NoError(t, err)
	require.NoError(t, Write(f, c.All()))
	require.NoError(t, f.Close())
	read, err := ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, c.All(), read)
	require.Equal(t, "overloaded", read[0].Label())
	require.Equal(t, "whole", read[1].Label())
	require.Equal(t, "failed(deadline)", (&Outcome{Result: Failed, Kind: "deadline"}).Label())

	require.NoError(t, os.WriteFile(file, []byte("{\"request\":\"a\"}\n{"), 0o600))
	_, err = ReadFile(file)
	require.ErrorContains(t, err, "outcome 2")
}
