package answer

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecodeRejectsIncompleteResponses(t *testing.T) {
	tests := []struct {
		desc      string
		modify    func(*Response)
		wantError string
	}{
		{desc: "complete", modify: func(*Response) {}},
		{desc: "other request", modify: func(r *Response) { r.Request = "r2" }, wantError: "answer to request"},
		{desc: "child of another request", modify: func(r *Response) { r.Children[1].Request = "r2" }, wantError: "answer to request"},
		{desc: "child missing", modify: func(r *Response) { r.Children = r.Children[:1] }, wantError: "1 child answers, want 2"},
		{desc: "grandchild missing", modify: func(r *Response) { r.Children[0].Calls = 1 }, wantError: "0 child answers, want 1"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := Response{Request: "r1", Calls: 2, Children: []Response{{Request: "r1"}, {Request: "r1"}}}
			test.modify(&r)
			body, err := json.Marshal(r)
			require.NoError(t, err)
			_, err = Decode(body, "r1")
			if test.wantError == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.wantError)
		})
	}
	_, err := Decode([]byte(`{"request":"r1"`), "r1")
	require.ErrorContains(t, err, "decode answer")
}
