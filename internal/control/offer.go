package control

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/peer/delta"
	"github.com/galenacart/galenacart/internal/platform"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// key names one of the documents that spread over the fleet.
type key uint8

// The documents.
const (
	keyCatalogue key = iota
	keyVMs
	keyCount
)

var keyNames = [keyCount]string{platform.KeyCatalogue, platform.KeyVMs}

// String returns the platform's name of the key.
func (k key) String() string {
	return keyNames[k]
}

// listField is the field of a VM list that holds its VMs.
const listField = "vms"

// sourcePlatform is the source of an offer that the node read itself.
const sourcePlatform = "platform"

// offer is one state of a document that the platform or a peer named.
type offer struct {
	key      key
	version  adoption.Version
	source   string
	document *delta.Document
	index    *catalogue.Index // of a catalogue
	list     *vmlist.Table    // of a VM list
	fault    error            // why the document can't be used, or nil
}

// basis is a document in force with its list, of which the next one may have
// much in common.
type basis struct {
	document *delta.Document
	list     *vmlist.Table // of a VM list: one VM for each entry
}

// basisOf returns the basis of a state in force.
func basisOf(d document) basis {
	if d.document == nil || d.list == nil || len(d.list.VMs) != d.document.Len() {
		return basis{document: delta.Empty, list: &vmlist.Table{}}
	}
	return basis{document: d.document, list: d.list}
}

// decodeOffer reads a document. It runs outside the control thread.
func decodeOffer(k key, revision uint64, data []byte, on basis, source string) *offer {
	o := &offer{key: k, version: adoption.Version{Revision: revision}, source: source}
	o.fault = o.decode(data, on)
	return o
}

func (o *offer) decode(data []byte, on basis) error {
	var err error
	switch o.key {
	case keyCatalogue:
		err = o.decodeCatalogue(data)
	default:
		err = o.decodeList(data, on)
	}
	if err == nil {
		o.version.Hash = o.document.Hash()
	}
	return err
}

func (o *offer) decodeCatalogue(data []byte) error {
	c, err := catalogue.Decode(o.key.String(), data)
	if err != nil {
		return err
	}
	o.index = catalogue.NewIndex(c)
	canonical, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	o.document, err = delta.Split(canonical)
	return err
}

// decodeList reads a VM list. VMs that are as in the basis share its entries.
func (o *offer) decodeList(data []byte, on basis) error {
	l, err := vmlist.Decode(data)
	if err != nil {
		return err
	}
	places := make(map[string]int, len(on.list.VMs))
	for i, vm := range on.list.VMs {
		places[vm.Name] = i
	}
	x := &delta.Delta{}
	o.list = vmlist.NewTable(l)
	for i, vm := range o.list.VMs {
		at, known := places[vm.Name]
		if known && *on.list.VMs[at] == *vm {
			o.list.VMs[i] = on.list.VMs[at]
			x.CopyEntries(at, 1)
			continue
		}
		value, err := json.Marshal(vm)
		if err != nil {
			return errors.Wrap(err, "encode VM")
		}
		x.AddEntry(delta.NewListEntry(listField, value))
	}
	o.document, err = delta.ApplyUnverified(on.document, x)
	return err
}

// decodeDelta builds a document from parts that a peer sent, and reads it. It
// runs outside the control thread. on is the state in force, base the one on
// which the delta builds.
func decodeDelta(k key, version adoption.Version, on basis, base *delta.Document, x *delta.Delta, source string) (*offer, error) {
	d, err := delta.Apply(base, x)
	if err != nil {
		return nil, err
	}
	o := &offer{key: k, version: version, source: source, document: d}
	if k == keyVMs && base == on.document {
		if o.list = patchTable(on.list, x); o.list != nil {
			return o, nil
		}
	}
	return decodeDocument(k, version, d, on, source), nil
}

// patchTable builds the table of a document from the table of its base, which
// holds one VM for each entry. It returns nil if an entry is not the canonical
// form of a VM, so that the whole document has to be judged.
func patchTable(known *vmlist.Table, x *delta.Delta) *vmlist.Table {
	out := &vmlist.Table{VMs: make([]*vmlist.VM, 0, len(known.VMs)+len(x.Entries))}
	added := 0
	for _, s := range x.Steps {
		if s.Count > 0 {
			out.VMs = append(out.VMs, known.VMs[s.From:s.From+s.Count]...)
			continue
		}
		vm := canonicalVM(x.Entries[added])
		if vm == nil {
			return nil
		}
		out.VMs = append(out.VMs, vm)
		added++
	}
	return out
}

// canonicalVM reads an entry of a VM list. It returns nil if the entry is not
// what this node would make of the VM.
func canonicalVM(entry []byte) *vmlist.VM {
	value, ok := delta.ListEntry(entry, listField)
	if !ok {
		return nil
	}
	vm, err := vmlist.DecodeVM(value)
	if err != nil {
		return nil
	}
	canonical, err := json.Marshal(vm)
	if err != nil || !bytes.Equal(canonical, value) {
		return nil
	}
	return vm
}

// decodeDocument reads a document that a peer sent in entries.
func decodeDocument(k key, version adoption.Version, d *delta.Document, on basis, source string) *offer {
	data, err := d.Join()
	if err != nil {
		return &offer{key: k, version: version, source: source, fault: err}
	}
	o := decodeOffer(k, version.Revision, data, on, source)
	if o.fault == nil && o.version.Hash != version.Hash {
		o.fault = errors.New("the document is not in its canonical form")
	}
	o.version = version
	return o
}
