package address

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	tests := []struct {
		desc, value string
		faults      int
	}{
		{"IPv4", "127.0.0.1:7000", 0},
		{"IPv6", "[::1]:7000", 0},
		{"empty, reported by the required-field validation", "", 0},
		{"host name", "localhost:7000", 1},
		{"no port", "127.0.0.1", 1},
		{"port 0", "127.0.0.1:0", 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			faults := Check("/a", test.value)
			require.Len(t, faults, test.faults)
			for _, f := range faults {
				require.Equal(t, "/a", f.Pointer)
			}
		})
	}
}
