package measure

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/control"
	"github.com/galenacart/galenacart/internal/inspect"
	"github.com/galenacart/galenacart/internal/load/capacity/planning"
)

// measureRoles computes the mean cost of the nodes of each role.
func (f *fleet) measureRoles(ctx context.Context, atRest map[*process]restRates, out *planning.EventCosts) error {
	samples, err := takeSamples(ctx, f.processes)
	if err != nil {
		return err
	}
	states, err := f.controlStates(ctx)
	if err != nil {
		return err
	}
	for i, p := range f.processes {
		role := &out.Idle
		if states[i].Catalogue.ReadRole == readers.DutyWatch.String() {
			role = &out.Reader
		}
		r := atRest[p]
		role.Nodes++
		role.Links += float64(len(states[i].Peers))
		role.CPU += r.cpu
		role.MemoryBytes += float64(samples[i].memory)
		role.Messages += r.messages
		role.Bytes += r.bytes
		out.HeapBytes += samples[i].heap / float64(len(samples))
	}
	divideByNodes(&out.Idle)
	divideByNodes(&out.Reader)
	return nil
}

// divideByNodes converts the sums of a role to means.
func divideByNodes(r *planning.RoleCost) {
	n := float64(max(r.Nodes, 1))
	for _, sum := range []*float64{&r.Links, &r.CPU, &r.MemoryBytes, &r.Messages, &r.Bytes} {
		*sum /= n
	}
}

// controlStates returns the control state of every node, in the order of the
// processes.
func (f *fleet) controlStates(ctx context.Context) ([]control.Status, error) {
	client := inspect.NewClient(sampleTimeout)
	defer client.Close()
	var addresses []string
	for _, p := range f.processes {
		addresses = append(addresses, p.settings.StatusAddress)
	}
	out := make([]control.Status, len(addresses))
	for i, a := range client.Nodes(ctx, addresses) {
		if a.Err != nil {
			return nil, errors.Wrapf(a.Err, "status of %s", a.Address)
		}
		if err := json.Unmarshal(a.Node.Control, &out[i]); err != nil {
			return nil, errors.Wrapf(err, "status of %s", a.Address)
		}
	}
	return out, nil
}
