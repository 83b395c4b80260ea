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

// key identifies one of the documents that are replicated over the fleet.
type key uint8

// The documents.
const (
	keyCatalogue key = iota
	keyVMs
	keyCount
)

var keyNames = [keyCount]string{platform.KeyCatalogue, platform.KeyVMs}

// String returns the key under which the platform stores the document.
func (k key) String() string {
	return keyNames[k]
}

// listField is the field of a VM list that holds its VMs.
const listField = "vms"

// sourcePlatform is the source of an offer that this node read from the platform.
const sourcePlatform = "platform"

// offer is one state of a document that was received from the platform or a peer.
type offer struct {
	key      key
	version  adoption.Version
	source   string
	document *delta.Document
	index    *catalogue.Index // of a catalogue
	list     *vmlist.Table    // of a VM list
	fault    error            // why the document is invalid, or nil
}

// decodeBasis is a document in force with its list. Decoding the next state shares
// the entries that did not change.
type decodeBasis struct {
	document *delta.Document
	list     *vmlist.Table // of a VM list: one VM for each entry
}

// basisOf returns the basis for decoding the state after d.
func basisOf(d document) decodeBasis {
	if d.document == nil || d.list == nil || len(d.list.VMs) != d.document.Len() {
		return decodeBasis{document: delta.Empty, list: &vmlist.Table{}}
	}
	return decodeBasis{document: d.document, list: d.list}
}

// decodeOffer decodes a document. It runs outside the control thread.
func decodeOffer(k key, revision uint64, data []byte, basis decodeBasis, source string) *offer {
	o := &offer{key: k, version: adoption.Version{Revision: revision}, source: source}
	o.fault = o.decode(data, basis)
	return o
}

func (o *offer) decode(data []byte, basis decodeBasis) error {
	var err error
	switch o.key {
	case keyCatalogue:
		err = o.decodeCatalogue(data)
	default:
		err = o.decodeList(data, basis)
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

// decodeList decodes a VM list. VMs that are equal in the basis share its entries.
func (o *offer) decodeList(data []byte, basis decodeBasis) error {
	decoded, err := vmlist.Decode(data)
	if err != nil {
		return err
	}
	indexByName := make(map[string]int, len(basis.list.VMs))
	for i, vm := range basis.list.VMs {
		indexByName[vm.Name] = i
	}
	d := &delta.Delta{}
	o.list = vmlist.NewTable(decoded)
	for i, vm := range o.list.VMs {
		index, known := indexByName[vm.Name]
		if known && *basis.list.VMs[index] == *vm {
			o.list.VMs[i] = basis.list.VMs[index]
			d.CopyEntries(index, 1)
			continue
		}
		value, err := json.Marshal(vm)
		if err != nil {
			return errors.Wrap(err, "encode VM")
		}
		d.AddEntry(delta.NewListEntry(listField, value))
	}
	o.document, err = delta.ApplyUnverified(basis.document, d)
	return err
}

// decodeDelta applies a delta that a peer sent, and decodes the document. It runs
// outside the control thread. basis is the state in force, base the document to
// which the delta applies.
func decodeDelta(k key, version adoption.Version, basis decodeBasis, base *delta.Document, update *delta.Delta, source string) (*offer, error) {
	d, err := delta.Apply(base, update)
	if err != nil {
		return nil, err
	}
	o := &offer{key: k, version: version, source: source, document: d}
	if k == keyVMs && base == basis.document {
		if o.list = patchTable(basis.list, update); o.list != nil {
			return o, nil
		}
	}
	return decodeDocument(k, version, d, basis, source), nil
}

// patchTable builds the table of a document from the table of its base, which
// holds one VM for each entry. It returns nil if an entry is not the canonical
// form of a VM; the whole document has to be decoded then.
func patchTable(known *vmlist.Table, update *delta.Delta) *vmlist.Table {
	out := &vmlist.Table{VMs: make([]*vmlist.VM, 0, len(known.VMs)+len(update.Entries))}
	added := 0
	for _, s := range update.Steps {
		if s.Count > 0 {
			out.VMs = append(out.VMs, known.VMs[s.From:s.From+s.Count]...)
			continue
		}
		vm := canonicalVM(update.Entries[added])
		if vm == nil {
			return nil
		}
		out.VMs = append(out.VMs, vm)
		added++
	}
	return out
}

// canonicalVM decodes an entry of a VM list. It returns nil if the entry is not in
// its canonical form.
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

// decodeDocument decodes a document that a peer sent in entries.
func decodeDocument(k key, version adoption.Version, d *delta.Document, basis decodeBasis, source string) *offer {
	data, err := d.Join()
	if err != nil {
		return &offer{key: k, version: version, source: source, fault: err}
	}
	o := decodeOffer(k, version.Revision, data, basis, source)
	if o.fault == nil && o.version.Hash != version.Hash {
		o.fault = errors.New("the document is not in its canonical form")
	}
	o.version = version
	return o
}
