package event

import "github.com/rs/zerolog"

// Events of the stand-ins.
const (
	// StandinStarted means that a stand-in accepts connections.
	StandinStarted Number = 4001
	// StandinStopped means that a stand-in stopped as planned.
	StandinStopped Number = 4002
	// StandinFailed means that a stand-in stopped because of an error.
	StandinFailed Number = 4003
	// PlatformMode means that the platform changed its mode.
	PlatformMode Number = 4010
	// PlatformWritten means that a key has a new value.
	PlatformWritten Number = 4011
	// PlatformOverLimit means that reads are refused.
	PlatformOverLimit Number = 4012
	// EndpointDraining means that an endpoint has begun to drain.
	EndpointDraining Number = 4020
	// EndpointSilenced means that an endpoint stopped answering on its open connections.
	EndpointSilenced Number = 4021
	// EndpointBehaviour means that an endpoint changed its behaviour.
	EndpointBehaviour Number = 4022
	// EndpointCrash means that a request ended the endpoint's process.
	EndpointCrash Number = 4023
	// EndpointConnectionLimit means that a connection was closed at accept.
	EndpointConnectionLimit Number = 4024
	// RelayCut means that the network partition applied by the relay changed.
	RelayCut Number = 4030
)

// standinEvents holds the definitions numbered from 4000.
var standinEvents = []Definition{
	{Number: StandinStarted, Name: "standin_started", Level: zerolog.InfoLevel, Meaning: "A stand-in accepts connections at the logged addresses.", RateLimitExempt: true},
	{Number: StandinStopped, Name: "standin_stopped", Level: zerolog.InfoLevel, Meaning: "A stand-in stopped as planned.", RateLimitExempt: true},
	{Number: StandinFailed, Name: "standin_failed", Level: zerolog.ErrorLevel, Meaning: "A stand-in stopped because of an error; the logged error names the cause.", RateLimitExempt: true},
	{Number: PlatformMode, Name: "platform_mode", Level: zerolog.InfoLevel, Meaning: "The stand-in platform changed its mode through its admin listener.", RateLimitExempt: true},
	{Number: PlatformWritten, Name: "platform_written", Level: zerolog.InfoLevel, Meaning: "A key of the stand-in platform has a new value and revision."},
	{Number: PlatformOverLimit, Name: "platform_over_limit", Level: zerolog.WarnLevel, Meaning: "The stand-in platform refuses reads because more arrived in one second than its limit. Logged once for each such second."},
	{Number: EndpointDraining, Name: "endpoint_draining", Level: zerolog.InfoLevel, Meaning: "A stand-in endpoint has begun to drain: it refuses new work and finishes the calls in flight.", RateLimitExempt: true},
	{Number: EndpointSilenced, Name: "endpoint_silenced", Level: zerolog.InfoLevel, Meaning: "A stand-in endpoint permanently stopped answering on all its open connections.", RateLimitExempt: true},
	{Number: EndpointBehaviour, Name: "endpoint_behaviour", Level: zerolog.InfoLevel, Meaning: "A stand-in endpoint changed its behaviour through its admin listener.", RateLimitExempt: true},
	{Number: EndpointCrash, Name: "endpoint_crash", Level: zerolog.ErrorLevel, Meaning: "A request ended the process of a stand-in endpoint, as configured in its settings.", RateLimitExempt: true},
	{Number: EndpointConnectionLimit, Name: "endpoint_connection_limit", Level: zerolog.WarnLevel, Meaning: "A stand-in endpoint closed a connection at accept because it had reached its limit of open connections. Logged at most once a second."},
	{Number: RelayCut, Name: "relay_cut", Level: zerolog.InfoLevel, Meaning: "The network stand-in now partitions the logged availability zones, or none.", RateLimitExempt: true},
}
