package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// slowViewWork is within what the site file allows a view, and within the route's timeout.
	slowViewWork = 4800 * time.Millisecond
	// pipelinedAfter is the time from the signal until the views are sent.
	pipelinedAfter = time.Second
	// pipelines is the number of connections that carry one slow and one quick view each.
	pipelines = 4
)

// workBySpeed is the time that a slow or a quick view takes.
func workBySpeed(r *http.Request) time.Duration {
	if strings.HasSuffix(r.URL.Path, "/slow") {
		return slowViewWork
	}
	return 200 * time.Millisecond
}

// playStopPipeline stops a node whose clients have pipelined a quick view behind a slow one.
func playStopPipeline(f *fleet, trouble bool) (verdict, error) {
	front := f.nodes[0]
	if err := warmUp(f, front, http.MethodGet, viewPaths[0]); err != nil {
		return verdict{}, err
	}
	for _, n := range f.nodes {
		n.instance.work = workBySpeed
	}
	var clients []*client
	for k := range pipelines {
		c, err := newClient(f.record, fmt.Sprintf("client %d", k+1), front.clientAddress())
		if err != nil {
			return verdict{}, err
		}
		defer c.close()
		clients = append(clients, c)
	}
	if trouble {
		front.signal(syscall.SIGTERM)
	}
	time.Sleep(pipelinedAfter)
	results := make(chan []*answer, pipelines)
	for k, c := range clients {
		go func() { results <- c.doPipelined(pipelinedViews(k)) }()
	}
	lost := 0
	for range clients {
		lost += countLost(f, <-results)
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d requests were run to the end by their instances and got no answer", lost)}, nil
}

func pipelinedViews(k int) []*request {
	var out []*request
	for _, speed := range []string{"slow", "quick"} {
		out = append(out, &request{
			attempt: fmt.Sprintf("%s-%d", speed, k+1), method: http.MethodGet, path: viewPaths[0] + speed, deadline: viewDeadline,
		})
	}
	return out
}

// countLost counts the requests that an instance ran to the end well before the connection
// ended without an answer to them.
func countLost(f *fleet, answers []*answer) int {
	lost := 0
	for _, a := range answers {
		ran := f.runOf(a.request.attempt)
		if a.status != 0 || ran == nil || ran.broken || a.endedAt.Sub(ran.endedAt) < boundLossSlack {
			continue
		}
		lost++
		f.record.logf("%s was run to the end %.3f s before its connection ended without an answer", a.request.attempt, a.endedAt.Sub(ran.endedAt).Seconds())
	}
	return lost
}

// runOf returns the first run of a request that has ended, or nil.
func (f *fleet) runOf(attempt string) *arrival {
	for _, n := range f.nodes {
		for _, a := range n.instance.arrived() {
			if a.attempt == attempt && !a.endedAt.IsZero() {
				return &a
			}
		}
	}
	return nil
}
