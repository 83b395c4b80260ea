package catalogue

import (
	"slices"
	"strings"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// defaultBodyBytes is the request body limit of a route that sets none.
const defaultBodyBytes = 1 << 20

// defaultAnswersTotalBytes bounds the kept answers of a node if the catalogue sets no
// bound.
const defaultAnswersTotalBytes = 16 << 20

// Index provides the lookups that calls need. It is immutable.
type Index struct {
	catalogue *Catalogue
	ranks     map[string]priority.Rank
	services  map[string]*Service
	routes    map[string][]*Route // by method, the longest path first
	hosts     map[string][]*Route // by host, the longest path first
}

// NewIndex returns the index of a valid catalogue.
func NewIndex(c *Catalogue) *Index {
	x := &Index{
		catalogue: c,
		ranks:     make(map[string]priority.Rank, len(c.Classes)),
		services:  make(map[string]*Service, len(c.Services)),
		routes:    make(map[string][]*Route),
		hosts:     make(map[string][]*Route),
	}
	for i := range c.Classes {
		x.ranks[c.Classes[i].Name] = priority.Rank(i)
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		x.addRoute(&c.Routes[i])
	}
	return x
}

func (x *Index) addRoute(r *Route) {
	if r.Host != "" {
		x.hosts[r.Host] = insertByPathLength(x.hosts[r.Host], r)
		return
	}
	x.routes[r.Method] = insertByPathLength(x.routes[r.Method], r)
}

// insertByPathLength inserts a route into a list with the longest path first.
func insertByPathLength(list []*Route, r *Route) []*Route {
	at := 0
	for at < len(list) && len(list[at].Path) >= len(r.Path) {
		at++
	}
	return slices.Insert(list, at, r)
}

// RouteByHost returns the route of a host with the longest matching path, or nil.
func (x *Index) RouteByHost(host, path string) *Route {
	return longestPrefix(x.hosts[host], path)
}

// Catalogue returns the document behind the index.
func (x *Index) Catalogue() *Catalogue {
	return x.catalogue
}

// Rank returns the rank of a class, and false when there is no such class.
func (x *Index) Rank(class string) (priority.Rank, bool) {
	r, ok := x.ranks[class]
	return r, ok
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service {
	return x.services[name]
}

// Route returns the route with the longest matching path, or nil.
func (x *Index) Route(method, path string) *Route {
	return longestPrefix(x.routes[method], path)
}

func longestPrefix(list []*Route, path string) *Route {
	for _, r := range list {
		if matches(r.Path, path) {
			return r
		}
	}
	return nil
}

// matches reports whether path lies at or below prefix.
func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if len(path) == len(prefix) || strings.HasSuffix(prefix, "/") {
		return true
	}
	return path[len(prefix)] == '/'
}

// ServiceFor returns the service that answers a request. at, from 0 to under 1, is
// the position of the request in the weighted services of a split route.
func (r *Route) ServiceFor(at float64) string {
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	left := at * float64(total)
	for _, p := range r.Split {
		left -= float64(p.Weight)
		if left < 0 {
			return p.Service
		}
	}
	return r.Service
}

// Services returns the services that answer requests of the route.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	services := make([]string, 0, len(r.Split))
	for _, p := range r.Split {
		services = append(services, p.Service)
	}
	return services
}

// Timeout returns the time within which the complete answer must arrive.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.Limits.TimeoutMs) * time.Millisecond
}

// Target returns the time within which an answer has its full value.
func (r *Route) Target() time.Duration {
	if r.Limits.TargetMs == 0 {
		return r.Timeout()
	}
	return min(time.Duration(r.Limits.TargetMs)*time.Millisecond, r.Timeout())
}

// BodyLimit returns the largest request body, in bytes.
func (r *Route) BodyLimit() int64 {
	if r.Limits.BodyBytes == 0 {
		return defaultBodyBytes
	}
	return r.Limits.BodyBytes
}

// AnswersTotalLimit returns the bound on all kept answers of one node, in bytes.
func (i Idempotency) AnswersTotalLimit() int64 {
	if i.AnswersTotalBytesMax == 0 {
		return defaultAnswersTotalBytes
	}
	return i.AnswersTotalBytesMax
}

// TokenLifetime returns the time for which a token may be used.
func (i Idempotency) TokenLifetime() time.Duration {
	return time.Duration(i.TokenLifetimeMs) * time.Millisecond
}
