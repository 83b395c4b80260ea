package endpoint

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongestMatchingRoute(t *testing.T) {
	e := &Endpoint{settings: &Settings{Routes: []Route{
		{Path: "/a"},
		{Path: "/a/b", Method: "POST"},
		{Path: "/a/b/c/"},
	}}}
	tests := []struct {
		desc, method, path, want string
	}{
		{"exact", "GET", "/a", "/a"},
		{"below the prefix", "GET", "/a/x", "/a"},
		{"same prefix, different segment", "GET", "/ab", ""},
		{"longest", "POST", "/a/b/c", "/a/b"},
		{"other method", "GET", "/a/b/c", "/a"},
		{"prefix with a trailing slash", "POST", "/a/b/c/d", "/a/b/c/"},
		{"none", "GET", "/z", ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := e.routeFor(test.method, test.path)
			if test.want == "" {
				require.Nil(t, r)
				return
			}
			require.Equal(t, test.want, r.Path)
		})
	}
}
