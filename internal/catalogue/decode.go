package catalogue

import (
	"fmt"

	"github.com/galenacart/galenacart/internal/strictjson"
)

// Decode reads and checks a catalogue. file is used in errors only. The error
// is a *strictjson.Faults that lists every fault.
func Decode(file string, data []byte) (*Catalogue, error) {
	c := &Catalogue{}
	if err := strictjson.Decode(file, data, c); err != nil {
		return nil, err
	}
	if faults := c.Check(); len(faults) > 0 {
		return nil, &strictjson.Faults{File: file, List: faults}
	}
	return c, nil
}

// ReadFile reads and checks the catalogue in a file.
func ReadFile(file string) (*Catalogue, error) {
	data, err := strictjson.ReadFile(file, MaxBytes)
	if err != nil {
		return nil, err
	}
	return Decode(file, data)
}

// Check returns every fault of the document.
func (c *Catalogue) Check() []strictjson.Fault {
	var faults []strictjson.Fault
	classes := map[string]bool{}
	for _, class := range c.Classes {
		classes[class.Name] = true
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for i, r := range c.Routes {
		if !classes[r.Class] {
			faults = append(faults, fault(i, "class", r.Class))
		}
		if !services[r.Service] {
			faults = append(faults, fault(i, "service", r.Service))
		}
	}
	return faults
}

func fault(route int, field, value string) strictjson.Fault {
	return strictjson.Fault{
		Pointer: fmt.Sprintf("/routes/%d/%s", route, field),
		Reason:  fmt.Sprintf("no such %s: %q", field, value),
	}
}
