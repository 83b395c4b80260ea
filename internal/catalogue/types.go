// Package catalogue reads and checks the document by which operators change
// behaviour: its services, routes, classes and limits.
package catalogue

// MaxBytes is the largest catalogue that the platform can hold.
const MaxBytes = 1 << 20

// Catalogue is the whole document. It is taken into force whole or not at all.
type Catalogue struct {
	// Classes lists the classes of work, the most important first.
	Classes []Class `json:"classes" validate:"required,min=1,max=8,dive"`
	// Services lists the services and the graph of calls between them.
	Services []Service `json:"services" validate:"required,min=1,max=500,dive"`
	// Routes lists the calls that may be made, by method and path.
	Routes []Route `json:"routes" validate:"required,min=1,max=5000,dive"`
	// Retry bounds resends over a whole chain.
	Retry Retry `json:"retry"`
	// Idempotency bounds the records of non-idempotent calls.
	Idempotency Idempotency `json:"idempotency"`
	// KeyHomes lists the VMs that keep the records of calls whose callers bring
	// their own idempotency key instead of a token. Empty: such keys are refused.
	KeyHomes []string `json:"keyHomes,omitempty" validate:"max=1000,unique,dive,min=1,max=128"`
}

// Class is one class of work.
type Class struct {
	// Name is the unique name of the class.
	Name string `json:"name" validate:"required,max=64"`
	// Owner is the team that answers for the class.
	Owner string `json:"owner" validate:"required,max=128"`
}

// Service is a group of endpoints that serve the same routes.
type Service struct {
	// Name is the unique name of the service.
	Name string `json:"name" validate:"required,max=64"`
	// Owner is the team that answers for the service.
	Owner string `json:"owner" validate:"required,max=128"`
	// Class is the class of calls that endpoints of the service start on their
	// own, outside any request.
	Class string `json:"class" validate:"required"`
	// Limits bound what a node sends to one endpoint of the service.
	Limits ServiceLimits `json:"limits"`
	// Callees names the services that endpoints of this service may call.
	Callees []string `json:"callees,omitempty" validate:"max=100,unique,dive,required"`
	// RefusalStatuses lists HTTP statuses by which an endpoint proves that it
	// did not start a call.
	RefusalStatuses []int `json:"refusalStatuses,omitempty" validate:"max=10,unique,dive,gte=400,lte=599"`
}

// ServiceLimits bound what a node sends to one endpoint.
type ServiceLimits struct {
	// Slots is the ceiling on calls in flight at one endpoint.
	Slots int `json:"slots" validate:"gte=1,lte=10000"`
	// Connections is the ceiling on open connections to one endpoint.
	Connections int `json:"connections" validate:"gte=1,lte=100000"`
	// Queue is the ceiling on calls that wait in the node for a slot.
	Queue int `json:"queue" validate:"gte=0,lte=100000"`
}

// Route is one kind of call.
type Route struct {
	// Name is the unique name of the route.
	Name string `json:"name" validate:"required,max=64"`
	// Owner is the team that answers for the route.
	Owner string `json:"owner" validate:"required,max=128"`
	// Class is the class of requests that enter by this route. Inside a chain a
	// call keeps the class of its root request.
	Class string `json:"class" validate:"required"`
	// Service names the service that answers.
	Service string `json:"service" validate:"required"`
	// Method is the HTTP method.
	Method string `json:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the prefix of the URL path. The longest prefix wins.
	Path string `json:"path" validate:"required,startswith=/,max=256"`
	// Idempotent says that running a call twice does no harm.
	Idempotent bool `json:"idempotent"`
	// Internal says that only endpoints may make the call.
	Internal bool `json:"internal,omitempty"`
	// Limits bound each call.
	Limits RouteLimits `json:"limits"`

	// What follows is no part of the document: a platform that publishes routes
	// of its own gives it.

	// Host is the host that requests ask for. Empty: routes go by Method.
	Host string `json:"-" cbor:"host,omitempty"`
	// Split shares the requests out over several services instead of Service.
	Split []WeightedService `json:"-" cbor:"split,omitempty"`
	// AttemptsMax bounds the endpoints to which one request is sent. 0 stands
	// for no bound of its own.
	AttemptsMax int `json:"-" cbor:"attemptsMax,omitempty"`
}

// WeightedService is the share of a route's requests that goes to one service.
type WeightedService struct {
	// Service names the service.
	Service string
	// Weight is the share, relative to those of the other parts.
	Weight int
}

// RouteLimits bound one call.
type RouteLimits struct {
	// TimeoutMs is the time for the whole answer, in milliseconds.
	TimeoutMs int `json:"timeoutMs" validate:"gte=1,lte=600000"`
	// TargetMs is the time within which an answer is worth most, in milliseconds. On
	// the platform, endpoints that usually keep it are preferred. 0 stands for
	// timeoutMs.
	TargetMs int `json:"targetMs,omitempty" validate:"gte=0,lte=600000"`
	// BodyBytes is the largest request body, in bytes. 0 stands for 1 MiB.
	BodyBytes int64 `json:"bodyBytes,omitempty" validate:"gte=0,lte=67108864"`
}

// Retry bounds resends.
type Retry struct {
	// BudgetPerRequest is the number of extra attempts that one root request may
	// cause over the whole chain.
	BudgetPerRequest int `json:"budgetPerRequest" validate:"gte=0,lte=100"`
	// PercentOfSuccesses bounds the extra attempts towards one service, in
	// percent of its recent successes.
	PercentOfSuccesses int `json:"percentOfSuccesses" validate:"gte=0,lte=100"`
}

// Idempotency bounds the records of non-idempotent calls.
type Idempotency struct {
	// TokenLifetimeMs is the time for which a token may be used, in milliseconds.
	TokenLifetimeMs int `json:"tokenLifetimeMs" validate:"gte=1000,lte=3600000"`
	// RecordsMax is the ceiling on records that one node keeps.
	RecordsMax int `json:"recordsMax" validate:"gte=1,lte=1000000"`
	// AnswerBytesMax is the largest answer that a record keeps whole, in bytes.
	AnswerBytesMax int `json:"answerBytesMax" validate:"gte=0,lte=1048576"`
	// AnswersTotalBytesMax bounds the kept answers of one node together, in
	// bytes. Past it a record keeps the outcome without the answer. 0 stands for
	// 16 MiB.
	AnswersTotalBytesMax int64 `json:"answersTotalBytesMax,omitempty" validate:"gte=0,lte=1073741824"`
}
