package answer

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecodeAcceptsOnlyTheWholeAnswer(t *testing.T) {
	tests := []struct {
		desc   string
		change func(*Answer)
		reason string
	}{
		{desc: "whole", change: func(*Answer) {}},
		{desc: "other request", change: func(a *Answer) { a.Request = "r2" }, reason: "answer to request"},
		{desc: "child of another request", change: func(a *Answer) { a.Children[1].Request = "r2" }, reason: "answer to request"},
		{desc: "child missing", change: func(a *Answer) { a.Children = a.Children[:1] }, reason: "1 child answers, want 2"},
		{desc: "grandchild missing", change: func(a *Answer) { a.Children[0].Calls = 1 }, reason: "0 child answers, want 1"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			a := Answer{Request: "r1", Calls: 2, Children: []Answer{{Request: "r1"}, {Request: "r1"}}}
			test.change(&a)
			body, err := json.Marshal(a)
			require.NoError(t, err)
			_, err = Decode(body, "r1")
			if test.reason == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.reason)
		})
	}
	_, err := Decode([]byte(`{"request":"r1"`), "r1")
	require.ErrorContains(t, err, "decode answer")
}
