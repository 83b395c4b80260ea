package catalogue

import (
	"fmt"
	"strings"
)

// visitState is the state of one service in a depth-first search.
type visitState uint8

const (
	unvisited visitState = iota
	onPath
	finished
)

// cycleSearch is a depth-first search for cycles in the graph of calls between
// services.
type cycleSearch struct {
	checker *checker
	state   []visitState
	path    []string
}

// checkCycles reports cycles of services that call each other, in which a chain of
// calls would have no end.
func (k *checker) checkCycles() {
	search := &cycleSearch{checker: k, state: make([]visitState, len(k.document.Services))}
	for i := range k.document.Services {
		search.visit(i)
	}
}

func (s *cycleSearch) visit(service int) {
	if s.state[service] != unvisited {
		return
	}
	s.state[service] = onPath
	entry := &s.checker.document.Services[service]
	s.path = append(s.path, entry.Name)
	for i, callee := range entry.Callees {
		next, ok := s.checker.services[callee]
		if !ok {
			continue
		}
		if s.state[next] == onPath {
			s.reportCycle(service, i, callee)
		}
		s.visit(next)
	}
	s.path = s.path[:len(s.path)-1]
	s.state[service] = finished
}

func (s *cycleSearch) reportCycle(service, callee int, name string) {
	first := len(s.path) - 1
	for first > 0 && s.path[first] != name {
		first--
	}
	cycle := strings.Join(s.path[first:], " → ") + " → " + name
	at := fmt.Sprintf("/services/%d/callees/%d", service, callee)
	s.checker.addFault(at, "the services call each other in a cycle: %s; want a graph without cycles", cycle)
}
