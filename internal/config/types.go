package config

import "time"

// Settings are the settings of one replica.
type Settings struct {
	Pos
	Replica   *Replica   `cfg:"front,required"`
	Limits    *Limits    `cfg:"limits"`
	Log       *Log       `cfg:"log"`
	Service   *Service   `cfg:"service,required"`
	Classes   []Class    `cfg:"class,required"`
	Tenants   []Tenant   `cfg:"tenant"`
	Kinds     []Kind     `cfg:"kind,required"`
	Models    []Model    `cfg:"model,required"`
	Rules     []Rule     `cfg:"rule"`
	Sessions  []Key      `cfg:"session"`
	Prefixes  []Key      `cfg:"prefix"`
	Engines   *Engines   `cfg:"engines"`
	Servers   []Server   `cfg:"server"`
	APIServer *APIServer `cfg:"register"`
}

// Replica says where this replica listens and how it ends.
type Replica struct {
	Pos
	Name         string        `cfg:"name"`
	Listen       string        `cfg:"listen,required"` // host:port for clients
	Admin        string        `cfg:"admin"`           // host:port for health and metrics; none = no such listener
	Seed         int           `cfg:"seed"`            // of the router's draws; 0 = drawn at start
	DrainTimeout time.Duration `cfg:"drain"`           // answers in flight may take so long after SIGTERM; 0 = 30 s
	AnswerMargin time.Duration `cfg:"answer-margin"`   // final answers are due so long before the deadline; 0 = 100 ms
}

// Limits bound what clients may take. Zero means the value in defaults.go.
type Limits struct {
	Pos
	MaxOpenRequests      int           `cfg:"open-requests"`
	MaxConnections       int           `cfg:"connections"`
	MaxHeaderBytes       Size          `cfg:"head"`
	MaxHeaderFields      int           `cfg:"header-fields"`
	MaxBodyBytes         Size          `cfg:"body"`
	MaxCollectedBytes    Size          `cfg:"whole-answer"`  // events of an answer that is not streamed
	MaxEventBytes        Size          `cfg:"event"`         // one event of a stream
	HeaderTimeout        time.Duration `cfg:"head-time"`     // from a request's first byte to its head's end
	BodyTimeout          time.Duration `cfg:"body-time"`     // for the whole body
	IdleTimeout          time.Duration `cfg:"idle-time"`     // between requests of a connection
	WriteTimeout         time.Duration `cfg:"stall-time"`    // a client that takes nothing for so long has gone
	StreamIdleTimeout    time.Duration `cfg:"stream-idle"`   // longest silence of an engine within a stream
	MaxBufferedBodyBytes Size          `cfg:"bodies-memory"` // all request bodies held at once
}

// Log says what is logged and how.
type Log struct {
	Pos
	Format         string `cfg:"format,enum=json|console"`
	Level          string `cfg:"level,enum=debug|info|warn|error"`
	LinesPerSecond int    `cfg:"lines-per-second"` // of one kind of line; more are counted, not written; 0 = 100
}

// Service holds what the router is told of the service as a whole.
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
	CanCancel        bool          `cfg:"cancel"`                     // engines stop the work of a connection that closes
	OverQuotaWeight  float64       `cfg:"over-share-worth"`           // part of the usual worth
	WeightBy         string        `cfg:"worth-by,enum=request|work"` // none = request
	DefaultClass     string        `cfg:"default-class"`
	DefaultTenant    string        `cfg:"default-tenant"`
}

// Class is a class of requests.
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

// Tenant is a customer with its share.
type Tenant struct {
	Pos
	Name  string  `cfg:"name,required"`
	Quota Rate    `cfg:"quota"`
	Share float64 `cfg:"share"`
}

// Kind is a kind of engine.
type Kind struct {
	Pos
	Name   string `cfg:"name,required"`
	Role   string `cfg:"role,required,enum=reader|writer|mixed"`
	Memory Tokens `cfg:"memory"`
}

// Model is a model served.
type Model struct {
	Pos
	Name          string  `cfg:"name,required"`
	BytesPerToken float64 `cfg:"bytes-per-token,required"`
	MaxOutput     Tokens  `cfg:"max-output,required"`
}

// Rule gives a class or a tenant to the requests that match it; the first that matches counts.
type Rule struct {
	Pos
	When   string `cfg:"when,required,enum=path|model|header|api-key-sha256|user"`
	Name   string `cfg:"name"` // of the header
	Equals string `cfg:"equals"`
	Begins string `cfg:"begins"`
	Class  string `cfg:"class"`
	Tenant string `cfg:"tenant"`
}

// Key says what a session or a shared prefix is told apart by; the first that gives something counts.
type Key struct {
	Pos
	From  string `cfg:"from,required,enum=header|user|system-messages|first-message|opening"`
	Name  string `cfg:"name"`
	Bytes Size   `cfg:"bytes"`
}

// Engines says how engines are spoken to.
type Engines struct {
	Pos
	Protocol          string        `cfg:"dialect,enum=vllm|extended"`
	DialTimeout       time.Duration `cfg:"dial-time"`
	MaxConnsPerEngine int           `cfg:"connections"`      // at once, an engine
	MaxIdlePerEngine  int           `cfg:"idle-connections"` // kept, an engine
	IdleTimeout       time.Duration `cfg:"idle-time"`
	LoadReportFields  string        `cfg:"load-report"` // names of ORCA figures, with spaces between
}

// Server is an engine of the static endpoint list.
type Server struct {
	Pos
	Name    string `cfg:"name,required"`
	Kind    string `cfg:"kind,required"`
	Address string `cfg:"address,required"`
	Zone    string `cfg:"zone"`
	Cell    string `cfg:"cell"`
}

// APIServer is where the endpoint list is watched.
type APIServer struct {
	Pos
	URL       string `cfg:"url,required"` // of the API server, without a path
	Namespace string `cfg:"namespace,required"`
	Selector  string `cfg:"label-selector"`
	KindLabel string `cfg:"kind-label"` // label of a slice that names its engines' kind; none = brackenbend.dev/kind
	CellLabel string `cfg:"cell-label"` // and their cell; none = brackenbend.dev/cell
	TokenFile string `cfg:"token-file"` // bearer token, read anew for every call
	CAFile    string `cfg:"ca-file"`    // for https
	CacheFile string `cfg:"cache"`      // file that keeps the last list
}
