package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/status"
)

const (
	// clockTicks is the number of processor time units per second (USER_HZ).
	clockTicks = 100
	// maxConcurrentSamples limits the concurrent samples.
	maxConcurrentSamples = 16

	sampleTimeout = 5 * time.Second
)

// Names of the control plane's metrics.
const (
	nameRevision         = "galenacart_control_catalogue_revision"
	nameMessagesSent     = "galenacart_control_messages_sent"
	nameMessagesReceived = "galenacart_control_messages_received"
	nameBytesSent        = "galenacart_control_bytes_sent"
	nameBytesReceived    = "galenacart_control_bytes_received"
)

// sample is the state of one process at one time.
type sample struct {
	at       time.Time
	cpu      time.Duration
	memory   int64 // resident bytes
	heap     float64
	revision float64
	messages float64 // sent and received
	bytes    float64 // payload sent and received
}

var sampleClient = &http.Client{Timeout: sampleTimeout}

// takeSamples samples all processes, in order.
func takeSamples(ctx context.Context, processes []*process) ([]*sample, error) {
	out := make([]*sample, len(processes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentSamples)
	for i, p := range processes {
		group.Go(func() error {
			s, err := takeSample(ctx, p)
			out[i] = s
			return errors.WithMessage(err, p.settings.VM)
		})
	}
	return out, group.Wait()
}

func takeSample(ctx context.Context, p *process) (*sample, error) {
	values, err := readMetrics(ctx, p.settings.StatusAddress)
	if err != nil {
		return nil, err
	}
	s := &sample{
		at:       time.Now(),
		heap:     values[metrics.NameHeapBytes],
		revision: values[nameRevision],
		messages: values[nameMessagesSent] + values[nameMessagesReceived],
		bytes:    values[nameBytesSent] + values[nameBytesReceived],
	}
	pid := p.command.Process.Pid
	if s.cpu, err = readCPUTime(pid); err != nil {
		return nil, err
	}
	s.memory, err = readMemory(pid)
	return s, err
}

// readMetrics reads the metrics without labels.
func readMetrics(ctx context.Context, address string) (map[string]float64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+status.PathMetrics, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	answer, err := sampleClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = answer.Body.Close() }() // read only
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read metrics: status %d", answer.StatusCode)
	}
	return parseMetrics(answer.Body)
}

func parseMetrics(in io.Reader) (map[string]float64, error) {
	out := make(map[string]float64)
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if name == "#" || strings.Contains(name, "{") {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "metric %s", name)
		}
		out[name] = value
	}
	return out, errors.Wrap(lines.Err(), "read metrics")
}

// readCPUTime reads the processor time of a process.
func readCPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return parseCPU(string(data))
}

// parseCPU adds the user and the system time of a line of /proc/PID/stat.
func parseCPU(line string) (time.Duration, error) {
	const user, system = 11, 12                                     // field indexes after the program's name
	fields := strings.Fields(line[strings.LastIndex(line, ")")+1:]) // the name may contain any character
	if len(fields) <= system {
		return 0, errors.New("processor time: too few fields")
	}
	total := time.Duration(0)
	for _, at := range []int{user, system} {
		n, err := strconv.Atoi(fields[at])
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		total += time.Duration(n) * time.Second / clockTicks
	}
	return total, nil
}

// readMemory reads the resident memory of a process, in bytes.
func readMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	return parseMemory(string(data))
}

// parseMemory finds VmRSS in the text of /proc/PID/status.
func parseMemory(text string) (int64, error) {
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmRSS:" && fields[2] == "kB" {
			n, err := strconv.ParseInt(fields[1], 10, 64)
			return n << 10, errors.Wrap(err, "resident memory")
		}
	}
	return 0, errors.New("resident memory: no VmRSS")
}
