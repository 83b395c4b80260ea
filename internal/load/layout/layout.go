package layout

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/runner"
	"github.com/galenacart/galenacart/internal/strictjson"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Process is one process of a deployment.
type Process struct {
	// Name is the unique name of the process.
	Name string
	// Command is the program and its arguments.
	Command []string
}

// Write writes the settings of every process below dir, and the process list and
// targets of each mode.
func Write(dir string, plan Plan, c *catalogue.Catalogue, d *deployment.Deployment) error {
	if err := plan.check(); err != nil {
		return err
	}
	if strings.ContainsAny(dir, " \t\n") {
		return errors.Errorf("directory %q: white space would split the command lines", dir)
	}
	if faults := d.CheckAgainst(c); len(faults) > 0 {
		return &strictjson.Faults{File: "catalogue", List: faults}
	}
	vms, err := plan.vms(d)
	if err != nil {
		return err
	}
	g := &generator{dir: dir, plan: plan, catalogue: c, deployment: d, vms: vms}
	for _, step := range []func() error{g.writePlatform, g.writeVMs, g.writeModes} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (g *generator) writePlatform() error {
	if err := writeJSON(g.path("platform", "catalogue.json"), g.catalogue); err != nil {
		return err
	}
	if err := writeJSON(g.path("platform", "vms.json"), vmlist.NewGroupedList(g.vmList())); err != nil {
		return err
	}
	if g.plan.Relay {
		if err := writeJSON(g.path("relay", "relay.json"), g.relay()); err != nil {
			return err
		}
	}
	return writeJSON(g.path("platform", "platform.json"), g.platform())
}

func (g *generator) writeVMs() error {
	for i, a := range g.vms {
		if err := writeJSON(g.path(a.VM, "node.json"), g.node(a)); err != nil {
			return err
		}
		for _, mode := range runner.Modes() {
			file := g.path(a.VM, "endpoint-"+string(mode)+".json")
			if err := writeJSON(file, g.endpoint(i, a, mode)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *generator) writeModes() error {
	for _, mode := range runner.Modes() {
		if err := writeJSON(g.path("targets-"+string(mode)+".json"), g.targets(mode, "")); err != nil {
			return err
		}
		if err := writeProcesses(g.path("processes-"+string(mode)+".txt"), g.processes(mode)); err != nil {
			return err
		}
	}
	return g.writeZones()
}

// writeZones writes the targets of each availability zone.
func (g *generator) writeZones() error {
	for _, zone := range g.deployment.AvailabilityZones {
		if err := writeJSON(g.path("targets-zone-"+zone+".json"), g.targets(runner.ModeGalenacart, zone)); err != nil {
			return err
		}
	}
	return nil
}

// processes lists the processes of a mode in start order.
func (g *generator) processes(mode runner.Mode) []Process {
	var all []Process
	if mode == runner.ModeGalenacart && g.plan.Relay {
		all = append(all, Process{
			Name:    "relay",
			Command: []string{"galenacart-standin", "relay", "-settings", g.path("relay", "relay.json")},
		})
	}
	if mode == runner.ModeGalenacart {
		all = append(all, Process{
			Name:    "platform",
			Command: []string{"galenacart-standin", "platform", "-settings", g.path("platform", "platform.json")},
		})
	}
	for _, a := range g.vms {
		file := g.path(a.VM, "endpoint-"+string(mode)+".json")
		all = append(all, Process{
			Name:    a.VM + "-endpoint",
			Command: []string{"galenacart-standin", "endpoint", "-settings", file},
		})
	}
	if mode != runner.ModeGalenacart {
		return all
	}
	for _, a := range g.vms {
		all = append(all, Process{
			Name:    a.VM + "-node",
			Command: []string{"galenacart-node", "run", "-settings", g.path(a.VM, "node.json")},
		})
	}
	return all
}

// writeProcesses writes one line for each process: its name and its command.
func writeProcesses(file string, all []Process) error {
	var text strings.Builder
	for _, p := range all {
		text.WriteString(p.Name + " " + strings.Join(p.Command, " ") + "\n")
	}
	return errors.Wrap(os.WriteFile(file, []byte(text.String()), fileMode), "write process list")
}

func writeJSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode %s", file)
	}
	if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
		return errors.Wrapf(err, "write %s", file)
	}
	return errors.Wrapf(os.WriteFile(file, append(data, '\n'), fileMode), "write %s", file)
}
