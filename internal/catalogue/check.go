package catalogue

import (
	"fmt"
	"path"
	"strings"
	"unicode"

	"github.com/galenacart/galenacart/internal/strictjson"
)

// Check returns every fault of the document.
func (c *Catalogue) Check() []strictjson.Fault {
	k := &checker{
		document: c,
		faults:   strictjson.Validate(c),
		classes:  make(map[string]bool),
		services: make(map[string]int),
	}
	k.checkClasses()
	k.checkServices()
	k.checkRoutes()
	k.checkCycles()
	return k.faults
}

// checker collects the faults of a catalogue, including those that concern more than
// one field.
type checker struct {
	document *Catalogue
	faults   []strictjson.Fault
	classes  map[string]bool
	services map[string]int // index in the list of services
}

func (k *checker) addFault(pointer, format string, args ...any) {
	k.faults = append(k.faults, strictjson.Fault{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

func (k *checker) checkClasses() {
	for i, class := range k.document.Classes {
		at := fmt.Sprintf("/classes/%d/name", i)
		k.checkName(at, class.Name)
		if k.classes[class.Name] {
			k.addFault(at, "the class %q is defined twice; want unique names", class.Name)
		}
		k.classes[class.Name] = true
	}
}

func (k *checker) checkServices() {
	services := k.document.Services
	for i, s := range services {
		at := fmt.Sprintf("/services/%d/name", i)
		k.checkName(at, s.Name)
		if _, twice := k.services[s.Name]; twice {
			k.addFault(at, "the service %q is defined twice; want unique names", s.Name)
			continue
		}
		k.services[s.Name] = i
	}
	for i, s := range services {
		k.checkClass(fmt.Sprintf("/services/%d/class", i), s.Class)
		for j, callee := range s.Callees {
			k.checkService(fmt.Sprintf("/services/%d/callees/%d", i, j), callee)
		}
	}
}

func (k *checker) checkRoutes() {
	names := make(map[string]bool)
	targets := make(map[string]string)
	for i, r := range k.document.Routes {
		at := fmt.Sprintf("/routes/%d", i)
		k.checkName(at+"/name", r.Name)
		if names[r.Name] {
			k.addFault(at+"/name", "the route %q is defined twice; want unique names", r.Name)
		}
		names[r.Name] = true
		k.checkClass(at+"/class", r.Class)
		k.checkService(at+"/service", r.Service)
		k.checkPath(at+"/path", r.Path)
		target := r.Method + " " + r.Path
		if other, twice := targets[target]; twice {
			k.addFault(at+"/path", "%s is the route %q already; want each method and path once", target, other)
		}
		targets[target] = r.Name
	}
}

// checkName reports names that can't be distinguished in tables and logs. It ignores
// a missing name, which is reported by strictjson.Validate.
func (k *checker) checkName(at, name string) {
	if name != strings.TrimSpace(name) || strings.ContainsFunc(name, unicode.IsControl) {
		k.addFault(at, "have %q; want no control characters and no space at either end", name)
	}
}

func (k *checker) checkClass(at, name string) {
	if name != "" && !k.classes[name] {
		k.addFault(at, "no such class: %q; want a name from /classes", name)
	}
}

func (k *checker) checkService(at, name string) {
	if _, ok := k.services[name]; name != "" && !ok {
		k.addFault(at, "no such service: %q; want a name from /services", name)
	}
}

// reservedPath is the prefix of paths that nodes answer themselves.
const reservedPath = "/galenacart/"

// checkPath reports reserved paths and paths that no call can have.
func (k *checker) checkPath(at, prefix string) {
	if prefix == "" {
		return
	}
	if strings.HasPrefix(prefix+"/", reservedPath) {
		k.addFault(at, "paths below %s belong to the nodes; want another path", reservedPath)
	}
	clean := path.Clean(prefix)
	if strings.HasSuffix(prefix, "/") && clean != "/" {
		clean += "/"
	}
	if clean != prefix || strings.ContainsAny(prefix, "?#") {
		k.addFault(at, "have %q; want a clean path such as %q, without query", prefix, strings.TrimRight(clean, "?#"))
	}
}
