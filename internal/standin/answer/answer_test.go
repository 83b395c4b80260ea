package answer

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecodeAcceptsOnlyTheWholeAnswer(t *testing.T) {
	tests := []struct {
		desc   string
		change func(*Response)
		reason string
	}{
		{desc: "whole", change: func(*Response) {}},
		{desc: "other request", change: func(a *Response) { a.Request = "r2" }, reason: "answer to request"},
		{desc: "child of another request", change: func(a *Response) { a.Children[1].Request = "r2" }, reason: "answer to request"},
		{desc: "child missing", change: func(a *Response) { a.Children = a.Children[:1] }, reason: "1 child answers, want 2"},
		{desc: "grandchild missing", change: func(a *Response) { a.Children[0].Calls = 1 }, reason: "0 child answers, want 1"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			a := Response{Request: "r1", Calls: 2, Children: []Response{{Request: "r1"}, {Request: "r1"}}}
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
