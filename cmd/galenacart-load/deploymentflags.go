package main

import (
	"flag"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/runner"
)

// deploymentFlags holds the flags of the files that describe a deployment.
type deploymentFlags struct {
	catalogue  string
	deployment string
}

func (i *deploymentFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&i.catalogue, "catalogue", "", "JSON `file` of the catalogue (required)")
	f.StringVar(&i.deployment, "deployment", "", "JSON `file` of the deployment (required)")
}

func (i *deploymentFlags) read() (*catalogue.Catalogue, *deployment.Deployment, error) {
	c, err := catalogue.ReadFile(i.catalogue)
	if err != nil {
		return nil, nil, errors.WithMessage(err, "-catalogue")
	}
	d, err := deployment.ReadFile(i.deployment)
	if err != nil {
		return nil, nil, errors.WithMessage(err, "-deployment")
	}
	return c, d, nil
}

// readTargets reads the targets file of a layout.
func readTargets(file string) (*runner.Targets, error) {
	t, err := runner.ReadTargets(file)
	return t, errors.WithMessage(err, "-targets")
}
