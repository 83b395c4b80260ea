package deployment

import (
	"fmt"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/strictjson"
)

func (d *Deployment) check() []strictjson.Fault {
	faults := append(strictjson.Validate(d), d.checkVMs()...)
	return append(faults, d.checkRoutes()...)
}

func (d *Deployment) checkVMs() []strictjson.Fault {
	var faults []strictjson.Fault
	zones := make(map[string]bool, len(d.AvailabilityZones))
	for _, z := range d.AvailabilityZones {
		zones[z] = true
	}
	seen := map[string]bool{}
	for i, s := range d.Services {
		for j, vm := range s.VMs {
			pointer := fmt.Sprintf("/services/%d/vms/%d", i, j)
			if !zones[vm.AvailabilityZone] {
				faults = append(faults, strictjson.Fault{
					Pointer: pointer + "/availabilityZone",
					Reason:  fmt.Sprintf("no such availability zone: %q", vm.AvailabilityZone),
				})
			}
			if seen[vm.Name] {
				faults = append(faults, strictjson.Fault{
					Pointer: pointer + "/name",
					Reason:  fmt.Sprintf("second VM named %q", vm.Name),
				})
			}
			seen[vm.Name] = true
		}
	}
	return faults
}

func (d *Deployment) checkRoutes() []strictjson.Fault {
	var faults []strictjson.Fault
	for i, r := range d.Routes {
		for j, call := range r.Calls {
			if d.Route(call) == nil {
				faults = append(faults, strictjson.Fault{
					Pointer: fmt.Sprintf("/routes/%d/calls/%d", i, j),
					Reason:  fmt.Sprintf("no such route: %q", call),
				})
			}
		}
		if d.callsRoute(r.Name, r.Calls, len(d.Routes)) {
			faults = append(faults, strictjson.Fault{
				Pointer: fmt.Sprintf("/routes/%d/calls", i),
				Reason:  fmt.Sprintf("route %q calls itself", r.Name),
			})
		}
	}
	return faults
}

// callsRoute reports whether target is among the callees or their downstream calls.
func (d *Deployment) callsRoute(target string, callees []string, depth int) bool {
	if depth == 0 {
		return false
	}
	for _, name := range callees {
		if name == target {
			return true
		}
		r := d.Route(name)
		if r != nil && d.callsRoute(target, r.Calls, depth-1) {
			return true
		}
	}
	return false
}

// Route returns the service time and calls of a route, or nil.
func (d *Deployment) Route(name string) *Route {
	for i := range d.Routes {
		if d.Routes[i].Name == name {
			return &d.Routes[i]
		}
	}
	return nil
}

// CheckAgainst returns the services and routes of a catalogue that the deployment
// lacks.
func (d *Deployment) CheckAgainst(c *catalogue.Catalogue) []strictjson.Fault {
	var faults []strictjson.Fault
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	for i, s := range c.Services {
		if !services[s.Name] {
			faults = append(faults, strictjson.Fault{
				Pointer: fmt.Sprintf("/services/%d", i),
				Reason:  fmt.Sprintf("the deployment has no VMs for service %q", s.Name),
			})
		}
	}
	for i, r := range c.Routes {
		if d.Route(r.Name) == nil {
			faults = append(faults, strictjson.Fault{
				Pointer: fmt.Sprintf("/routes/%d", i),
				Reason:  fmt.Sprintf("the deployment has no work for route %q", r.Name),
			})
		}
	}
	return faults
}
