// Package catalogue decodes and checks the document by which operators configure
// services, routes, classes and limits at run time.
package catalogue

// MaxBytes is the largest catalogue that the platform can hold.
const MaxBytes = 1 << 20

// Catalogue is the whole document. It comes into force completely or not at all.
type Catalogue struct {
	// Classes lists the priority classes of work, the most important first.
	Classes []Class `json:"classes" validate:"required,min=1,max=8,dive"`
	// Services lists the services and the graph of calls between them.
	Services []Service `json:"services" validate:"required,min=1,max=500,dive"`
	// Routes lists the calls that may be made, by method and path.
	Routes []Route `json:"routes" validate:"required,min=1,max=5000,dive"`
	// Retry bounds extra attempts over a whole chain of calls.
	Retry Retry `json:"retry"`
	// Idempotency bounds the records of non-idempotent calls.
	Idempotency Idempotency `json:"idempotency"`
	// KeyHomes lists the VMs that keep the records of calls whose callers send their
	// own idempotency key instead of a token. If empty, such keys are refused.
	KeyHomes []string `json:"keyHomes,omitempty" validate:"max=1000,unique,dive,min=1,max=128"`
}

// Class is one class of work.
type Class struct {
	// Name is the unique name of the class.
	Name string `json:"name" validate:"required,max=64"`
	// Owner is the team that is responsible for the class.
	Owner string `json:"owner" validate:"required,max=128"`
}

// Service is a group of endpoints that serve the same routes.
type Service struct {
	// Name is the unique name of the service.
	Name string `json:"name" validate:"required,max=64"`
	// Owner is the team that is responsible for the service.
	Owner string `json:"owner" validate:"required,max=128"`
	// Class is the class of calls that endpoints of the service start outside any
	// request.
	Class string `json:"class" validate:"required"`
	// Limits bound what a node sends to one endpoint of the service.
	Limits ServiceLimits `json:"limits"`
	// Callees names the services that endpoints of this service may call.
	Callees []string `json:"callees,omitempty" validate:"max=100,unique,dive,required"`
	// RefusalStatuses lists HTTP statuses by which an endpoint proves that it
	// did not start a call.
	RefusalStatuses []int `json:"refusalStatuses,omitempty" validate:"max=10,unique,dive,gte=400,lte=599"`
}

// ServiceLimits bound the load that a node puts on one endpoint.
type ServiceLimits struct {
	// Slots is the maximum number of calls in flight at one endpoint.
	Slots int `json:"slots" validate:"gte=1,lte=10000"`
	// Connections is the maximum number of open connections to one endpoint.
	Connections int `json:"connections" validate:"gte=1,lte=100000"`
	// Queue is the maximum number of calls that wait in the node for a slot.
	Queue int `json:"queue" validate:"gte=0,lte=100000"`
}

// Route is one kind of call.
type Route struct {
	// Name is the unique name of the route.
	Name string `json:"name" validate:"required,max=64"`
	// Owner is the team that is responsible for the route.
	Owner string `json:"owner" validate:"required,max=128"`
	// Class is the class of requests that enter by this route. A call inside a chain
	// keeps the class of its root request.
	Class string `json:"class" validate:"required"`
	// Service names the service that answers.
	Service string `json:"service" validate:"required"`
	// Method is the HTTP method.
	Method string `json:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the prefix of the URL path. The route with the longest prefix applies.
	Path string `json:"path" validate:"required,startswith=/,max=256"`
	// Idempotent says that a call may safely run more than once.
	Idempotent bool `json:"idempotent"`
	// Internal says that only endpoints may make the call.
	Internal bool `json:"internal,omitempty"`
	// Limits bound each call.
	Limits RouteLimits `json:"limits"`

	// The following fields are not part of the document. They are set from the
	// configuration of a platform that publishes its own routes.

	// Host is the host of the requests. If empty, routes are selected by Method.
	Host string `json:"-" cbor:"host,omitempty"`
	// Split distributes the requests over several services instead of Service.
	Split []WeightedService `json:"-" cbor:"split,omitempty"`
	// AttemptsMax bounds the number of endpoints to which one request is sent. 0 means
	// that the route sets no bound.
	AttemptsMax int `json:"-" cbor:"attemptsMax,omitempty"`
}

// WeightedService is the share of a route's requests that goes to one service.
type WeightedService struct {
	// Service names the service.
	Service string
	// Weight is the share, relative to the weights of the other services.
	Weight int
}

// RouteLimits bound one call.
type RouteLimits struct {
	// TimeoutMs is the time within which the complete answer must arrive, in
	// milliseconds.
	TimeoutMs int `json:"timeoutMs" validate:"gte=1,lte=600000"`
	// TargetMs is the time within which an answer has its full value, in milliseconds.
	// On the platform, endpoints that usually meet it are preferred. 0 means
	// timeoutMs.
	TargetMs int `json:"targetMs,omitempty" validate:"gte=0,lte=600000"`
	// BodyBytes is the largest request body, in bytes. 0 means 1 MiB.
	BodyBytes int64 `json:"bodyBytes,omitempty" validate:"gte=0,lte=67108864"`
}

// Retry bounds extra attempts.
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
	// RecordsMax is the maximum number of records that one node keeps.
	RecordsMax int `json:"recordsMax" validate:"gte=1,lte=1000000"`
	// AnswerBytesMax is the largest answer that a record keeps, in bytes.
	AnswerBytesMax int `json:"answerBytesMax" validate:"gte=0,lte=1048576"`
	// AnswersTotalBytesMax bounds the total size of the kept answers of one node, in
	// bytes. Beyond it, a record keeps the outcome without the answer. 0 means 16 MiB.
	AnswersTotalBytesMax int64 `json:"answersTotalBytesMax,omitempty" validate:"gte=0,lte=1073741824"`
}
