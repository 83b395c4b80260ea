package catalogue

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Operation is the kind of a difference between two catalogues.
type Operation string

// Kinds of differences.
const (
	// Added means that only the new catalogue has the entry.
	Added Operation = "added"
	// Removed means that only the old catalogue has the entry.
	Removed Operation = "removed"
	// Changed means that a field has another value.
	Changed Operation = "changed"
)

// Change is one difference between two catalogues.
type Change struct {
	// Operation is the kind of the difference.
	Operation Operation
	// Section is "class", "service", "route", "retry", "idempotency" or
	// "keyHomes".
	Section string
	// Name is the entry's name. It is empty for sections without entries.
	Name string
	// Field is the path of a changed field, with dots. "rank" is the position of
	// a class.
	Field string
	// Old is the value in the old catalogue, of a changed field.
	Old string
	// New is the value in the new catalogue, of a changed field.
	New string
}

// String returns the change as one line.
func (c Change) String() string {
	subject := c.Section
	if c.Name != "" {
		subject += " " + c.Name
	}
	if c.Operation != Changed {
		return string(c.Operation) + " " + subject
	}
	return fmt.Sprintf("changed %s: %s: %s → %s", subject, c.Field, c.Old, c.New)
}

// Risk returns what an operator should consider before publishing the change, or an
// empty string.
func (c Change) Risk() string {
	if c.Operation == Removed && c.Section == "route" {
		return "callers that still use it are refused"
	}
	if c.Operation != Changed {
		return ""
	}
	switch c.Section + " " + c.Field {
	case "keyHomes list":
		return "while both lists are in force a caller's own key may have two homes"
	case "class rank":
		return "this changes what is refused first under overload"
	case "route idempotent":
		return idempotentRisk(c.New)
	case "route method", "route path":
		return "callers that use the old one are refused"
	case "idempotency tokenLifetimeMs":
		return "tokens that are in use keep the lifetime with which they were issued"
	}
	return ""
}

func idempotentRisk(value string) string {
	if value == "true" {
		return "nodes may run such a call more than once from now on"
	}
	return "callers need an idempotency key to send such a call again"
}

// Diff lists the differences between two catalogues: classes, services and
// routes by name, then the other sections.
func Diff(before, after *Catalogue) []Change {
	var all []Change
	all = append(all, diffEntries("class", classEntries(before), classEntries(after))...)
	all = append(all, diffEntries("service", serviceEntries(before), serviceEntries(after))...)
	all = append(all, diffEntries("route", routeEntries(before), routeEntries(after))...)
	all = append(all, diffFields("retry", "", fieldsOf(before.Retry), fieldsOf(after.Retry))...)
	all = append(all, diffFields("idempotency", "", fieldsOf(before.Idempotency), fieldsOf(after.Idempotency))...)
	homes := func(c *Catalogue) []field { return []field{{"list", fmt.Sprint(c.KeyHomes)}} }
	all = append(all, diffFields("keyHomes", "", homes(before), homes(after))...)
	return all
}

// field is a value with its path, formatted as text.
type field struct {
	path, value string
}

// entry is a named part of a catalogue.
type entry struct {
	name   string
	fields []field
}

func classEntries(c *Catalogue) []entry {
	list := make([]entry, 0, len(c.Classes))
	for rank, class := range c.Classes {
		fields := append(fieldsOf(class), field{"rank", strconv.Itoa(rank)})
		list = append(list, entry{class.Name, fields})
	}
	return list
}

func serviceEntries(c *Catalogue) []entry {
	list := make([]entry, 0, len(c.Services))
	for _, s := range c.Services {
		list = append(list, entry{s.Name, fieldsOf(s)})
	}
	return list
}

func routeEntries(c *Catalogue) []entry {
	list := make([]entry, 0, len(c.Routes))
	for _, r := range c.Routes {
		list = append(list, entry{r.Name, fieldsOf(r)})
	}
	return list
}

// diffEntries compares entries by name. It returns changes in the order of the new
// list, then the removed entries.
func diffEntries(section string, before, after []entry) []Change {
	var changes []Change
	old := make(map[string][]field, len(before))
	for _, e := range before {
		old[e.name] = e.fields
	}
	kept := make(map[string]bool, len(after))
	for _, e := range after {
		kept[e.name] = true
		fields, known := old[e.name]
		if !known {
			changes = append(changes, Change{Operation: Added, Section: section, Name: e.name})
			continue
		}
		changes = append(changes, diffFields(section, e.name, fields, e.fields)...)
	}
	for _, e := range before {
		if !kept[e.name] {
			changes = append(changes, Change{Operation: Removed, Section: section, Name: e.name})
		}
	}
	return changes
}

// diffFields compares two values of the same type, field by field.
func diffFields(section, name string, before, after []field) []Change {
	var changes []Change
	for i, f := range after {
		if before[i].value == f.value {
			continue
		}
		changes = append(changes, Change{
			Operation: Changed, Section: section, Name: name,
			Field: f.path, Old: before[i].value, New: f.value,
		})
	}
	return changes
}

// fieldsOf lists the fields of a struct in the order of the type. Paths of fields of
// nested structs contain dots.
func fieldsOf(value any) []field {
	var list []field
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		path, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if v.Field(i).Kind() != reflect.Struct {
			list = append(list, field{path, fmt.Sprint(v.Field(i).Interface())})
			continue
		}
		for _, nested := range fieldsOf(v.Field(i).Interface()) {
			list = append(list, field{path + "." + nested.path, nested.value})
		}
	}
	return list
}
