package vmlist

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecode(t *testing.T) {
	tests := []struct {
		desc, text string
		vms        int
		fails      bool
	}{
		{desc: "one VM", text: `{"vms":[{"vm":"a","state":"live"}]}`, vms: 1},
		{desc: "a field of a later platform", text: `{"vms":[{"vm":"a","rack":"r1"}],"epoch":3}`, vms: 1},
		{desc: "cut off", text: `{"vms":[{"vm":"a"`, fails: true},
		{desc: "wrong type", text: `{"vms":7}`, fails: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			l, err := Decode([]byte(test.text))
			require.Equal(t, test.fails, err != nil)
			if err == nil {
				require.Len(t, l.VMs, test.vms)
			}
		})
	}
}
