package main

import (
	"flag"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/inspect"
)

const (
	defaultTimeout = 3 * time.Second
	maxPort        = 1<<16 - 1
)

// statusTargets holds the flags that select the nodes to query, and the timeout of the
// query to each of them.
type statusTargets struct {
	nodes   string
	vms     string
	port    uint
	timeout time.Duration
}

func (t *statusTargets) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.nodes, "nodes", "", "`file` of status addresses (host:port of a node's status endpoint), one per line")
	f.StringVar(&t.vms, "vms", "", "JSON `file` of the platform's VM list; needs -port")
	f.UintVar(&t.port, "port", 0, "status `port` of the VMs listed in -vms")
	f.DurationVar(&t.timeout, "timeout", defaultTimeout, "timeout per node, a `time`")
}

// addresses returns the status addresses (host:port of a node's status endpoint) of the
// arguments and files.
func (t *statusTargets) addresses(arguments []string) ([]string, error) {
	all := make([]string, 0, len(arguments))
	for _, address := range arguments {
		if err := inspect.CheckAddress(address); err != nil {
			return nil, err
		}
		all = append(all, address)
	}
	if t.nodes != "" {
		fileAddresses, err := inspect.ReadAddresses(t.nodes)
		if err != nil {
			return nil, err
		}
		all = append(all, fileAddresses...)
	}
	if t.vms != "" {
		if t.port == 0 || t.port > maxPort {
			return nil, errors.Errorf("-port: want the status port of the VMs, 1 to %d", maxPort)
		}
		fileAddresses, err := inspect.ReadVMs(t.vms, uint16(t.port))
		if err != nil {
			return nil, err
		}
		all = append(all, fileAddresses...)
	}
	if len(all) == 0 {
		return nil, errors.New("no node to query; want status addresses, -nodes FILE or -vms FILE")
	}
	return all, nil
}
