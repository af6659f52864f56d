package config

import "time"

// Defaults of settings that a file omits. The limits bound the time and memory that one client or engine can take up.
const (
	defaultDrainTimeout         = 30 * time.Second       // for requests in flight after SIGTERM
	defaultAnswerMargin         = 100 * time.Millisecond // between the final answer and the client's deadline
	defaultMaxOpenRequests      = 20000
	defaultMaxConnections       = 20000
	defaultMaxHeaderBytes       = 32 << 10
	defaultMaxHeaderFields      = 100
	defaultMaxBodyBytes         = 4 << 20
	defaultMaxBufferedBodyBytes = 256 << 20 // of all requests in flight
	defaultMaxCollectedBytes    = 4 << 20   // of a response that is not streamed, or of an engine's reply
	defaultMaxEventBytes        = 256 << 10 // of one event of a stream
	defaultHeaderTimeout        = 10 * time.Second
	defaultBodyTimeout          = 30 * time.Second
	defaultIdleTimeout          = 60 * time.Second
	defaultWriteTimeout         = 10 * time.Second
	defaultStreamIdleTimeout    = 30 * time.Second

	defaultLogFormat      = "json"
	defaultLogLevel       = "info"
	defaultLinesPerSecond = 100

	defaultEngineProtocol    = "vllm"
	defaultDialTimeout       = time.Second
	defaultMaxConnsPerEngine = 1024
	defaultMaxIdlePerEngine  = 32
	defaultEngineIdleTimeout = 15 * time.Second // shorter than the keep-alive timeouts of common servers

	defaultKindLabel = "brackenbend.dev/kind"
	defaultCellLabel = "brackenbend.dev/cell"

	defaultPriorityWeight = 1
)

func (s *Settings) fillDefaults() {
	setDefault(&s.Limits, &Limits{})
	setDefault(&s.Log, &Log{})
	setDefault(&s.Engines, &Engines{})
	s.Replica.fillDefaults()
	s.Limits.fillDefaults()
	s.Log.fillDefaults()
	s.Engines.fillDefaults()
	if s.APIServer != nil {
		setDefault(&s.APIServer.KindLabel, defaultKindLabel)
		setDefault(&s.APIServer.CellLabel, defaultCellLabel)
	}
	for i := range s.Classes {
		setDefault(&s.Classes[i].PriorityWeight, defaultPriorityWeight)
	}
}

func (r *Replica) fillDefaults() {
	setDefault(&r.DrainTimeout, defaultDrainTimeout)
	setDefault(&r.AnswerMargin, defaultAnswerMargin)
	setDefault(&r.Name, r.Listen)
}

func (l *Limits) fillDefaults() {
	setDefault(&l.MaxOpenRequests, defaultMaxOpenRequests)
	setDefault(&l.MaxConnections, defaultMaxConnections)
	setDefault(&l.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&l.MaxHeaderFields, defaultMaxHeaderFields)
	setDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&l.MaxBufferedBodyBytes, defaultMaxBufferedBodyBytes)
	setDefault(&l.MaxCollectedBytes, defaultMaxCollectedBytes)
	setDefault(&l.MaxEventBytes, defaultMaxEventBytes)
	setDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&l.BodyTimeout, defaultBodyTimeout)
	setDefault(&l.IdleTimeout, defaultIdleTimeout)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
	setDefault(&l.StreamIdleTimeout, defaultStreamIdleTimeout)
}

func (l *Log) fillDefaults() {
	setDefault(&l.Format, defaultLogFormat)
	setDefault(&l.Level, defaultLogLevel)
	setDefault(&l.LinesPerSecond, defaultLinesPerSecond)
}

func (e *Engines) fillDefaults() {
	setDefault(&e.Protocol, defaultEngineProtocol)
	setDefault(&e.DialTimeout, defaultDialTimeout)
	setDefault(&e.MaxConnsPerEngine, defaultMaxConnsPerEngine)
	setDefault(&e.MaxIdlePerEngine, defaultMaxIdlePerEngine)
	setDefault(&e.IdleTimeout, defaultEngineIdleTimeout)
}

// setDefault sets v to value if it is zero.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
