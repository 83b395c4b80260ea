package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/strictjson"
)

func TestDecodeRejectsInvalidSettings(t *testing.T) {
	tests := []struct {
		desc, text, wantError string
	}{
		{"empty", ``, "the document is empty"},
		{"unknown field", `{"speed":1}`, "speed"},
		{"address missing", `{"adminAddress":"127.0.0.1:2"}`, "/address: the value is missing"},
		{"address is a host name", `{"address":"localhost:1","adminAddress":"127.0.0.1:2"}`, "localhost:1"},
		{"negative limit", `{"address":"127.0.0.1:1","adminAddress":"127.0.0.1:2","readsPerSecond":-1}`, "/readsPerSecond: have -1; want at least 0"},
		{"duplicate key", `{"address":"127.0.0.1:1","adminAddress":"127.0.0.1:2","keys":[{"key":"a","file":"x"},{"key":"a","file":"y"}]}`, "/keys/1/key"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := Decode("p.json", []byte(test.text))
			faults := &strictjson.Faults{}
			require.ErrorAs(t, err, &faults)
			require.ErrorContains(t, err, test.wantError)
		})
	}
}

func TestDecodeAppliesDefaults(t *testing.T) {
	s, err := Decode("p.json", []byte(`{"address":"127.0.0.1:1","adminAddress":"127.0.0.1:2"}`))
	require.NoError(t, err)
	require.Equal(t, DefaultReadsPerSecond, s.ReadsPerSecond)
	require.Equal(t, DefaultHistory, s.History)
	require.EqualValues(t, 1, s.FirstRevision)
}
