package main

// cases are the cases by name.
var cases = map[string]caseEntry{
	"drain-retry":   {fleet: retryFleet, play: playDrainRetry},
	"drain-queue":   {fleet: busyFleet, play: playDrainQueue},
	"large-body":    {fleet: largeBodyFleet, play: playLargeBody},
	"stop-pipeline": {fleet: busyFleet, play: playStopPipeline},
	"stop-queue":    {fleet: busyFleet, play: playStopQueue},
}

// book is a route of requests that may run once, as the small site files have one.
func book(service, timeout string) route {
	return route{
		Name: "book", Host: hostName, Prefix: "/book/", Kind: "non_idempotent", Timeout: timeout, Target: "1500ms",
		Service: service, Attempts: 2,
	}
}

// view is a route of requests that may run more than once.
func view(service, timeout string) route {
	return route{
		Name: "view", Host: hostName, Prefix: "/view/", Kind: "idempotent", Timeout: timeout, Target: "1500ms", Priority: 2,
		Service: service, Attempts: 2,
	}
}

func services(names ...string) []serviceConfig {
	var out []serviceConfig
	for _, name := range names {
		out = append(out, serviceConfig{Name: name, HealthPath: "/healthcheck", MaxConnections: 448, Protocol: "h1"})
	}
	return out
}
