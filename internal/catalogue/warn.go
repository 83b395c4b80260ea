package catalogue

import (
	"fmt"
	"net/http"

	"github.com/galenacart/galenacart/internal/strictjson"
)

const (
	// chainDepthWarn is the depth of a chain of calls above which a warning is issued.
	chainDepthWarn = 12
	// answersBytesWarn is the size of kept answers, in bytes, above which a node may
	// lack memory for its other work.
	answersBytesWarn = 32 << 20
)

// Warnings returns settings that are allowed but probably unintended. The catalogue
// must be valid.
func (c *Catalogue) Warnings() []strictjson.Fault {
	w := &warner{catalogue: c, index: NewIndex(c), callers: make(map[string][]string)}
	for _, s := range c.Services {
		for _, callee := range s.Callees {
			w.callers[callee] = append(w.callers[callee], s.Name)
		}
	}
	w.warnClasses()
	w.warnServices()
	w.warnRoutes()
	w.warnRecords()
	return w.warnings
}

// warner collects the warnings of a catalogue.
type warner struct {
	catalogue *Catalogue
	index     *Index
	callers   map[string][]string // by service, the services that may call it
	warnings  []strictjson.Fault
}

func (w *warner) warn(pointer, format string, args ...any) {
	w.warnings = append(w.warnings, strictjson.Fault{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

func (w *warner) warnClasses() {
	used := make(map[string]bool)
	for _, s := range w.catalogue.Services {
		used[s.Class] = true
	}
	for _, r := range w.catalogue.Routes {
		used[r.Class] = true
	}
	for i, class := range w.catalogue.Classes {
		if !used[class.Name] {
			w.warn(fmt.Sprintf("/classes/%d", i), "no route and no service has the class %q", class.Name)
		}
	}
}

func (w *warner) warnServices() {
	routed := make(map[string]bool)
	for _, r := range w.catalogue.Routes {
		routed[r.Service] = true
	}
	for i, s := range w.catalogue.Services {
		at := fmt.Sprintf("/services/%d", i)
		if !routed[s.Name] {
			w.warn(at, "no route leads to the service %q", s.Name)
		}
		if s.Limits.Connections < s.Limits.Slots {
			w.warn(at+"/limits/connections", "fewer than the %d slots, so some slots are never used", s.Limits.Slots)
		}
		if depth := w.depth(s.Name); depth > chainDepthWarn && len(w.callers[s.Name]) == 0 {
			w.warn(at+"/callees", "chains from here are %d calls deep; up to %d are usual", depth, chainDepthWarn)
		}
	}
}

// depth returns the number of services on the longest chain from a service.
func (w *warner) depth(service string) int {
	depths := make(map[string]int)
	var compute func(name string) int
	compute = func(name string) int {
		if depth, ok := depths[name]; ok {
			return depth
		}
		deepest := 0
		for _, callee := range w.index.Service(name).Callees {
			deepest = max(deepest, compute(callee))
		}
		depths[name] = deepest + 1
		return deepest + 1
	}
	return compute(service)
}

func (w *warner) warnRoutes() {
	for i := range w.catalogue.Routes {
		r := &w.catalogue.Routes[i]
		at := fmt.Sprintf("/routes/%d", i)
		if !r.Idempotent && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
			w.warn(at+"/idempotent", "a %s that is not idempotent is never sent twice", r.Method)
		}
		if !r.Idempotent && r.Limits.TimeoutMs > w.catalogue.Idempotency.TokenLifetimeMs {
			w.warn(at+"/limits/timeoutMs", "longer than /idempotency/tokenLifetimeMs, so a token may expire before the answer")
		}
		if r.Internal {
			w.warnInternal(at, r)
		}
	}
}

// warnInternal compares the timeout of an internal route with those of the routes of
// its callers.
func (w *warner) warnInternal(at string, r *Route) {
	callers := w.callers[r.Service]
	if len(callers) == 0 {
		w.warn(at+"/internal", "no service has %q among its callees, so this call can never be made", r.Service)
		return
	}
	longest := 0
	for _, caller := range callers {
		longest = max(longest, w.longestTimeout(caller))
	}
	if longest > 0 && r.Limits.TimeoutMs > longest {
		w.warn(at+"/limits/timeoutMs", "%d ms; its callers have at most %d ms themselves, so the rest is never used", r.Limits.TimeoutMs, longest)
	}
}

func (w *warner) longestTimeout(service string) int {
	longest := 0
	for _, r := range w.catalogue.Routes {
		if r.Service == service {
			longest = max(longest, r.Limits.TimeoutMs)
		}
	}
	return longest
}

func (w *warner) warnRecords() {
	bytes := w.catalogue.Idempotency.AnswersTotalLimit()
	if bytes > answersBytesWarn {
		w.warn("/idempotency/answersTotalBytesMax", "kept answers may take %d MiB on each node", bytes>>20)
	}
}
