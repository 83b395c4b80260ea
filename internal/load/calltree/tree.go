// Package calltree checks that an answer is the complete answer to its request:
// every expected downstream call is present, in order, and was made for this
// request.
package calltree

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/standin/answer"
)

// maxDepth limits the depth of a call tree.
const maxDepth = 64

// Tree is the expected structure of an answer.
type Tree struct {
	// Route is the route of the call.
	Route *catalogue.Route
	// Calls holds the direct downstream calls in order.
	Calls []*Tree
}

// NewTree returns the expected structure of the answer to a route.
func NewTree(c *catalogue.Catalogue, d *deployment.Deployment, route string) (*Tree, error) {
	return newTree(c, d, route, maxDepth)
}

func newTree(c *catalogue.Catalogue, d *deployment.Deployment, route string, depth int) (*Tree, error) {
	if depth == 0 {
		return nil, errors.Errorf("route %q: calls more than %d deep", route, maxDepth)
	}
	work := d.Route(route)
	if work == nil {
		return nil, errors.Errorf("route %q is not in the deployment", route)
	}
	t := &Tree{Route: findRoute(c, route)}
	if t.Route == nil {
		return nil, errors.Errorf("route %q is not in the catalogue", route)
	}
	for _, name := range work.Calls {
		call, err := newTree(c, d, name, depth-1)
		if err != nil {
			return nil, err
		}
		t.Calls = append(t.Calls, call)
	}
	return t, nil
}

func findRoute(c *catalogue.Catalogue, name string) *catalogue.Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// Size returns the number of calls in the tree, the root included.
func (t *Tree) Size() int {
	size := 1
	for _, call := range t.Calls {
		size += call.Size()
	}
	return size
}

// Check returns an error unless body is the complete answer to request.
func (t *Tree) Check(body []byte, request string) error {
	a, err := answer.Decode(body, request)
	if err != nil {
		return err
	}
	return t.compare(a)
}

func (t *Tree) compare(a *answer.Response) error {
	if a.Service != t.Route.Service || a.Method != t.Route.Method || !matchesPath(t.Route.Path, a.Path) {
		return errors.Errorf("answer of %s %s by %s, want %s %s by %s",
			a.Method, a.Path, a.Service, t.Route.Method, t.Route.Path, t.Route.Service)
	}
	if len(a.Children) != len(t.Calls) {
		return errors.Errorf("route %s: %d child answers, want %d", t.Route.Name, len(a.Children), len(t.Calls))
	}
	for i := range a.Children {
		if err := t.Calls[i].compare(&a.Children[i]); err != nil {
			return err
		}
	}
	return nil
}

func matchesPath(prefix, path string) bool {
	return path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/")
}
