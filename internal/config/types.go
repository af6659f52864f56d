package config

import "time"

// Settings holds the contents of a settings file, which configures one replica.
type Settings struct {
	Pos
	Replica         *Replica         `cfg:"front,required"`
	Limits          *Limits          `cfg:"limits"`
	Log             *Log             `cfg:"log"`
	Service         *Service         `cfg:"service,required"`
	Classes         []Class          `cfg:"class,required"`
	Tenants         []Tenant         `cfg:"tenant"`
	Kinds           []Kind           `cfg:"kind,required"`
	Models          []Model          `cfg:"model,required"`
	Rules           []Rule           `cfg:"rule"`
	SessionKeys     []AffinityKey    `cfg:"session"`
	PrefixKeys      []AffinityKey    `cfg:"prefix"`
	Engines         *Engines         `cfg:"engines"`
	StaticEndpoints []StaticEndpoint `cfg:"server"`
	APIServer       *APIServer       `cfg:"register"`
}

// Replica configures this replica's listeners and its shutdown.
type Replica struct {
	Pos
	Name         string        `cfg:"name"`
	Listen       string        `cfg:"listen,required"` // host:port for clients
	Admin        string        `cfg:"admin"`           // host:port for health and metrics; empty = no such listener
	Seed         int           `cfg:"seed"`            // of the router's random numbers; 0 = chosen at random at startup
	DrainTimeout time.Duration `cfg:"drain"`           // time for requests in flight to complete after SIGTERM; 0 = 30 s
	AnswerMargin time.Duration `cfg:"answer-margin"`   // final answers are due this long before the deadline; 0 = 100 ms
}

// Limits bound the resources that clients and engines can use and the time that they can take. Zero selects the value
// in defaults.go.
type Limits struct {
	Pos
	MaxOpenRequests      int           `cfg:"open-requests"`
	MaxConnections       int           `cfg:"connections"`
	MaxHeaderBytes       Size          `cfg:"head"`
	MaxHeaderFields      int           `cfg:"header-fields"`
	MaxBodyBytes         Size          `cfg:"body"`
	MaxCollectedBytes    Size          `cfg:"whole-answer"`  // events of an unstreamed response; one reply of an engine
	MaxEventBytes        Size          `cfg:"event"`         // one event of a stream
	HeaderTimeout        time.Duration `cfg:"head-time"`     // from a request's first byte to the end of its header
	BodyTimeout          time.Duration `cfg:"body-time"`     // to read a whole body
	IdleTimeout          time.Duration `cfg:"idle-time"`     // between the requests of a connection
	WriteTimeout         time.Duration `cfg:"stall-time"`    // a client that reads nothing for this long is disconnected
	StreamIdleTimeout    time.Duration `cfg:"stream-idle"`   // longest pause between the events of an engine's stream
	MaxBufferedBodyBytes Size          `cfg:"bodies-memory"` // of all request bodies in memory
}

// Log configures the logger.
type Log struct {
	Pos
	Format         string `cfg:"format,enum=json|console"`
	Level          string `cfg:"level,enum=debug|info|warn|error"`
	LinesPerSecond int    `cfg:"lines-per-second"` // with the same message and level; further ones are sampled; 0 = 100
}

// Service configures routing for the service as a whole. routing.Config documents the fields that have no comment here.
type Service struct {
	Pos
	Replicas         int           `cfg:"fronts,required"`
	MaxAttempts      int           `cfg:"max-attempts"`
	MaxRetryAfter    time.Duration `cfg:"max-wait"`
	StateTTL         time.Duration `cfg:"release-within"`
	DrainGrace       time.Duration `cfg:"drain-grace"`
	SlowStartFrom    float64       `cfg:"cold-from"`
	SlowStartFor     time.Duration `cfg:"cold-for"`
	OverloadFactor   float64       `cfg:"overload-factor"`
	OverloadAfter    time.Duration `cfg:"tip-after"`
	DecodeCanPrefill bool          `cfg:"writers-read"`
	CanCancel        bool          `cfg:"cancel"`                     // engines abort a request when its connection closes
	OverQuotaWeight  float64       `cfg:"over-share-worth"`           // of a request over quota, as a fraction of others
	WeightBy         string        `cfg:"worth-by,enum=request|work"` // empty = request
	DefaultClass     string        `cfg:"default-class"`              // of requests that no rule assigns to a class
	DefaultTenant    string        `cfg:"default-tenant"`             // of requests that no rule assigns to a tenant
}

// Class is a class of requests. routing.Class documents the fields.
type Class struct {
	Pos
	Name                    string        `cfg:"name,required"`
	Idempotency             string        `cfg:"effect,required,enum=safe|keyed|unsafe"`
	LatencyObjective        time.Duration `cfg:"aim,required"`
	LatencyObjectivePer1000 time.Duration `cfg:"aim-per-1000-tokens"`
	TokenLatencyObjective   time.Duration `cfg:"token-aim"`
	Deadline                time.Duration `cfg:"deadline,required"`
	PriorityWeight          float64       `cfg:"worth"`
	LateWeight              float64       `cfg:"late-worth"`
	DedupScope              string        `cfg:"group,enum=all|zone|cell"`
	DedupWindow             time.Duration `cfg:"window"`
}

// Tenant is a customer of the service. routing.Tenant documents the fields.
type Tenant struct {
	Pos
	Name  string  `cfg:"name,required"`
	Quota Rate    `cfg:"quota"`
	Share float64 `cfg:"share"`
}

// Kind is a kind of engine: the role of its engines and the size of their KV caches.
type Kind struct {
	Pos
	Name   string `cfg:"name,required"`
	Role   string `cfg:"role,required,enum=reader|writer|mixed"`
	Memory Tokens `cfg:"memory"` // 0 = unknown
}

// Model is a model that the service offers.
type Model struct {
	Pos
	Name            string  `cfg:"name,required"`
	BytesPerToken   float64 `cfg:"bytes-per-token,required"`
	MaxOutputTokens Tokens  `cfg:"max-output,required"`
}

// Rule assigns a class or a tenant to the requests that match it. The first rule that matches applies.
type Rule struct {
	Pos
	Source     string `cfg:"when,required,enum=path|model|header|api-key-sha256|user"`
	HeaderName string `cfg:"name"` // for when="header"
	Equals     string `cfg:"equals"`
	Prefix     string `cfg:"begins"`
	Class      string `cfg:"class"`
	Tenant     string `cfg:"tenant"`
}

// AffinityKey selects the part of a request that identifies its session or its shared prefix. The first key that has a
// value for a request applies.
type AffinityKey struct {
	Pos
	Source      string `cfg:"from,required,enum=header|user|system-messages|first-message|opening"`
	HeaderName  string `cfg:"name"`  // for from="header"
	PrefixBytes Size   `cfg:"bytes"` // length of the prefix, for from="opening"
}

// Engines configures the connections to engines.
type Engines struct {
	Pos
	Protocol          string        `cfg:"dialect,enum=vllm|extended"`
	DialTimeout       time.Duration `cfg:"dial-time"`
	MaxConnsPerEngine int           `cfg:"connections"`      // open, per engine
	MaxIdlePerEngine  int           `cfg:"idle-connections"` // idle, per engine
	IdleTimeout       time.Duration `cfg:"idle-time"`        // a connection that is idle for this long is not reused
	LoadReportFields  string        `cfg:"load-report"`      // names of ORCA load report fields, separated by spaces
}

// StaticEndpoint is an engine of the static endpoint list.
type StaticEndpoint struct {
	Pos
	Name    string `cfg:"name,required"`
	Kind    string `cfg:"kind,required"`
	Address string `cfg:"address,required"`
	Zone    string `cfg:"zone"`
	Cell    string `cfg:"cell"`
}

// APIServer configures the watch of the endpoint list at a Kubernetes API server.
type APIServer struct {
	Pos
	URL       string `cfg:"url,required"` // without a path
	Namespace string `cfg:"namespace,required"`
	Selector  string `cfg:"label-selector"`
	KindLabel string `cfg:"kind-label"` // EndpointSlice label for the engines' kind; empty = brackenbend.dev/kind
	CellLabel string `cfg:"cell-label"` // EndpointSlice label for the engines' cell; empty = brackenbend.dev/cell
	TokenFile string `cfg:"token-file"` // bearer token; the file is read for every call
	CAFile    string `cfg:"ca-file"`    // root certificates for https
	CacheFile string `cfg:"cache"`      // file that stores the last endpoint list
}
