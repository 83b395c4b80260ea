package control

import (
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

// sourcePlatform is the source of an offer that the node read itself.
const sourcePlatform = "platform"

// offer is one state of a document that the platform or a peer named.
type offer struct {
	key      key
	version  adoption.Version
	source   string
	document *delta.Document
	index    *catalogue.Index // of a catalogue
	list     *vmlist.List     // of a VM list
	fault    error            // why the document can't be used, or nil
}

// decodeOffer reads a document. It runs outside the control thread.
func decodeOffer(k key, revision uint64, data []byte, source string) *offer {
	o := &offer{key: k, version: adoption.Version{Revision: revision}, source: source}
	o.fault = o.decode(data)
	return o
}

func (o *offer) decode(data []byte) error {
	var content any
	switch o.key {
	case keyCatalogue:
		c, err := catalogue.Decode(o.key.String(), data)
		if err != nil {
			return err
		}
		o.index = catalogue.NewIndex(c)
		content = c
	default:
		l, err := vmlist.Decode(data)
		if err != nil {
			return err
		}
		o.list = l
		content = l
	}
	canonical, err := json.Marshal(content)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	o.document, err = delta.Split(canonical)
	if err != nil {
		return err
	}
	o.version.Hash = o.document.Hash()
	return nil
}

// decodeDocument reads a document that a peer sent in entries.
func decodeDocument(k key, version adoption.Version, d *delta.Document, source string) *offer {
	data, err := d.Join()
	if err != nil {
		return &offer{key: k, version: version, source: source, fault: err}
	}
	o := decodeOffer(k, version.Revision, data, source)
	if o.fault == nil && o.version.Hash != version.Hash {
		o.fault = errors.New("the document is not in its canonical form")
	}
	o.version = version
	return o
}
