package priorityinversion

import (
	"strconv"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/calltree"
	"github.com/galenacart/galenacart/internal/load/deployment"
)

// NewRoutes returns the routes of callers with their trees of calls.
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
		routes[route.Name] = Route{Rank: ranks[route.Class], Calls: placesOf(tree, "")}
	}
	return routes, nil
}

// placesOf lists the calls of a tree, whose root is at a position.
func placesOf(t *calltree.Tree, position string) []CallPosition {
	places := []CallPosition{{Position: position, Service: t.Route.Service}}
	for i, call := range t.Calls {
		below := strconv.Itoa(i)
		if position != "" {
			below = position + "." + below
		}
		places = append(places, placesOf(call, below)...)
	}
	return places
}
