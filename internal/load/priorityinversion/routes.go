package priorityinversion

import (
	"strconv"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/calltree"
	"github.com/galenacart/galenacart/internal/load/deployment"
)

// NewRoutes returns the routes of callers with their call trees.
func NewRoutes(c *catalogue.Catalogue, d *deployment.Deployment) (Routes, error) {
	ranks := map[string]int{}
	for i := range c.Classes {
		ranks[c.Classes[i].Name] = i
	}
	routes := Routes{}
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Internal {
			continue
		}
		tree, err := calltree.NewTree(c, d, route.Name)
		if err != nil {
			return nil, err
		}
		routes[route.Name] = Route{Rank: ranks[route.Class], Calls: callPositions(tree, "")}
	}
	return routes, nil
}

// callPositions lists the calls of a tree whose root is at a position.
func callPositions(t *calltree.Tree, position string) []CallPosition {
	positions := []CallPosition{{Position: position, Service: t.Route.Service}}
	for i, call := range t.Calls {
		child := strconv.Itoa(i)
		if position != "" {
			child = position + "." + child
		}
		positions = append(positions, callPositions(call, child)...)
	}
	return positions
}
