package calltree

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/standin/answer"
)

func bookingTree(t *testing.T) *Tree {
	t.Helper()
	c, err := catalogue.ReadFile("../../../examples/dorvakt/catalogue.json")
	require.NoError(t, err)
	d, err := deployment.ReadFile("../../../examples/dorvakt/deployment.json")
	require.NoError(t, err)
	tree, err := NewTree(c, d, "book-repair")
	require.NoError(t, err)
	_, err = NewTree(c, d, "no-such-route")
	require.Error(t, err)
	return tree
}

// completeAnswer returns the complete answer to a request.
func (t *Tree) completeAnswer(request string) answer.Response {
	a := answer.Response{
		Request: request, Service: t.Route.Service, Method: t.Route.Method, Path: t.Route.Path, Calls: len(t.Calls),
	}
	for _, call := range t.Calls {
		a.Children = append(a.Children, call.completeAnswer(request))
	}
	return a
}

func TestCheck(t *testing.T) {
	tree := bookingTree(t)
	require.Equal(t, 4, tree.Size())
	deepest := func(a *answer.Response) *answer.Response {
		for len(a.Children) > 0 {
			a = &a.Children[0]
		}
		return a
	}
	cases := []struct {
		desc   string
		change func(a *answer.Response)
		want   string // part of the error; empty for a complete answer
	}{
		{"complete", func(*answer.Response) {}, ""},
		{"path below the route's", func(a *answer.Response) { a.Path += "/12" }, ""},
		{"of another request", func(a *answer.Response) { a.Request = "r2" }, `"r2"`},
		{"a child of another request", func(a *answer.Response) { deepest(a).Request = "r2" }, `"r2"`},
		{"a child is missing", func(a *answer.Response) { a.Children = nil }, "0 child answers, want 1"},
		{"a child is missing and not announced", func(a *answer.Response) { a.Children, a.Calls = nil, 0 }, "0 child answers, want 1"},
		{"a child too many", func(a *answer.Response) { d := deepest(a); d.Calls, d.Children = 1, []answer.Response{*d} }, "child answers, want"},
		{"a child of another service", func(a *answer.Response) { deepest(a).Service = "dispatch" }, "by stock"},
		{"a child of another route", func(a *answer.Response) { deepest(a).Path = "/stock/reservations2" }, "want POST /stock/reservations"},
		{"another method", func(a *answer.Response) { a.Method = "GET" }, "want POST /bookings"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			a := tree.completeAnswer("r1")
			c.change(&a)
			body, err := json.Marshal(a)
			require.NoError(t, err)
			err = tree.Check(body, "r1")
			if c.want == "" {
				require.NoError(t, err)
				require.Error(t, tree.Check(body[:len(body)-1], "r1"), "truncated")
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
}
