package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

const (
	changeTimeout          = 5 * time.Second
	maxChangeResponseBytes = 4 << 10
	minFailureStatus       = 300
)

// changeCommand sends one change to the admin listener of a stand-in.
type changeCommand struct {
	address string
	path    string
	body    string
	file    string
}

func (*changeCommand) Name() string     { return "change" }
func (*changeCommand) Synopsis() string { return "send a change to a stand-in's admin listener" }
func (*changeCommand) Usage() string {
	return `galenacart-standin change -address IP:PORT -path PATH (-body JSON | -file FILE)
Sends one PUT to the admin listener of a running stand-in, such as
  change -address 127.0.0.1:7901 -path /admin/mode -body '{"mode":"down"}'
Exit codes: 0 changed, 1 failed, 2 bad usage.
`
}

func (c *changeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "admin `address` of the stand-in (required)")
	f.StringVar(&c.path, "path", "", "`path` of the change (required)")
	f.StringVar(&c.body, "body", "", "`JSON` to send")
	f.StringVar(&c.file, "file", "", "`file` to send instead of -body")
}

// Execute sends the change.
func (c *changeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.address == "" || c.path == "" {
		return badUsage(errors.New("want -address and -path"))
	}
	body := []byte(c.body)
	if c.file != "" {
		data, err := os.ReadFile(c.file)
		if err != nil {
			return badUsage(errors.Wrap(err, "-file"))
		}
		body = data
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := c.send(ctx, body); err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *changeCommand) send(ctx context.Context, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+c.address+c.path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "address %s", c.address)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "address %s", c.address)
	}
	defer func() { _ = response.Body.Close() }() // nothing more is read from it
	if response.StatusCode < minFailureStatus {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxChangeResponseBytes)) // a part is enough for the message
	return errors.Errorf("address %s: status %d: %s", c.address, response.StatusCode, text)
}
