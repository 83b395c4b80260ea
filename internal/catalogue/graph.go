package catalogue

import (
	"fmt"
	"strings"
)

// visit is the progress of a depth-first search at one service.
type visit uint8

const (
	unvisited visit = iota
	onPath
	finished
)

// cycleSearch walks the graph of calls between services.
type cycleSearch struct {
	checker *checker
	state   []visit
	path    []string
}

// checkCycles refuses services that call each other in a circle: a chain of
// calls would have no end.
func (k *checker) checkCycles() {
	search := &cycleSearch{checker: k, state: make([]visit, len(k.catalogue.Services))}
	for i := range k.catalogue.Services {
		search.enter(i)
	}
}

func (s *cycleSearch) enter(service int) {
	if s.state[service] != unvisited {
		return
	}
	s.state[service] = onPath
	entry := &s.checker.catalogue.Services[service]
	s.path = append(s.path, entry.Name)
	for i, callee := range entry.Callees {
		next, ok := s.checker.services[callee]
		if !ok {
			continue
		}
		if s.state[next] == onPath {
			s.report(service, i, callee)
		}
		s.enter(next)
	}
	s.path = s.path[:len(s.path)-1]
	s.state[service] = finished
}

func (s *cycleSearch) report(service, callee int, name string) {
	first := len(s.path) - 1
	for first > 0 && s.path[first] != name {
		first--
	}
	circle := strings.Join(s.path[first:], " → ") + " → " + name
	at := fmt.Sprintf("/services/%d/callees/%d", service, callee)
	s.checker.fault(at, "the services call each other in a circle: %s; want a graph without circles", circle)
}
