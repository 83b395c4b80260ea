package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/control"
)

// clockTicks is the number of processor time units per second (USER_HZ).
const clockTicks = 100

// sample is the state of one process at one time.
type sample struct {
	at      time.Time
	cpu     time.Duration
	rss     int64 // bytes
	control control.Status
}

var statusClient = &http.Client{Timeout: 5 * time.Second}

// takeSample samples a process.
func takeSample(p *process) (*sample, error) {
	s := &sample{}
	address := strings.Replace(p.vm.PeerAddress, strconv.Itoa(portPeer), strconv.Itoa(portStatus), 1)
	answer, err := statusClient.Get("http://" + address + "/status")
	if err != nil {
		return nil, errors.Wrapf(err, "status of %s", p.vm.Name)
	}
	defer func() { _ = answer.Body.Close() }() // read only
	var body struct {
		Control *control.Status `json:"control"`
	}
	body.Control = &s.control
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		return nil, errors.Wrapf(err, "status of %s", p.vm.Name)
	}
	s.at = time.Now()
	if s.cpu, err = readCPUTime(p.pid()); err != nil {
		return nil, err
	}
	s.rss, err = readRSS(p.pid())
	return s, err
}

// readCPUTime reads the processor time of a process.
func readCPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	const user, system = 11, 12 // field indexes after the program's name
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= system {
		return 0, errors.New("processor time: too few fields")
	}
	ticks := 0
	for _, index := range []int{user, system} {
		n, err := strconv.Atoi(fields[index])
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// readRSS reads the resident memory of a process.
func readRSS(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("memory: too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "memory")
}
