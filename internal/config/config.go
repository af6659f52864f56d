// Package config reads the front's settings: XML, checked against what the program takes, with every problem
// named by file, line, column and mend. It holds no value that the decision module should decide: what is left
// out becomes the module's documented default, or the bound written at the field here.
package config

import (
	"cmp"
	"fmt"
	"net"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"brackenbend/internal/api"
	"brackenbend/routing"
)

// Settings are one front's settings.
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

// Replica says where this front listens and how it ends.
type Replica struct {
	Pos
	Name         string        `cfg:"name"`
	Listen       string        `cfg:"listen,required"` // host:port for clients
	Admin        string        `cfg:"admin"`           // host:port for health and metrics; none = no such listener
	Seed         int           `cfg:"seed"`            // of the module's draws; 0 = drawn at start
	DrainTimeout time.Duration `cfg:"drain"`           // answers in flight may take so long after SIGTERM; 0 = 30 s
	AnswerMargin time.Duration `cfg:"answer-margin"`   // final answers are decided so long before the client's time is up; 0 = 100 ms
}

// Limits bound what clients may take. Zero means the value in fillDefaults.
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
	StreamIdleTimeout    time.Duration `cfg:"stream-idle"`   // an engine that sends nothing for so long within a stream has failed
	MaxBufferedBodyBytes Size          `cfg:"bodies-memory"` // all request bodies held at once
}

// Log says what is logged and how.
type Log struct {
	Pos
	Format         string `cfg:"format,enum=json|console"`
	Level          string `cfg:"level,enum=debug|info|warn|error"`
	LinesPerSecond int    `cfg:"lines-per-second"` // of one kind of line; more are counted, not written; 0 = 100
}

// Service holds what the decision module is told of the service as a whole.
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

// Key says where a session or a shared beginning is told; the first that gives something counts.
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
	LoadReportFields  string        `cfg:"load-report"` // names of ORCA figures for the module, with spaces between
}

// Server is an engine of the static list.
type Server struct {
	Pos
	Name    string `cfg:"name,required"`
	Kind    string `cfg:"kind,required"`
	Address string `cfg:"address,required"`
	Zone    string `cfg:"zone"`
	Cell    string `cfg:"cell"`
}

// APIServer is where the list of engines is watched.
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

// Load reads and checks a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads settings; file is for messages. The error is Problems.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{}
	if err := Decode(file, text, "brackenbend", s, func(report Reporter) { s.check(report) }); err != nil {
		return nil, err
	}
	s.fillDefaults()
	return s, nil
}

// Reporter takes a problem that a check found.
type Reporter func(at Pos, mend, what string, args ...any)

// Decode fills into, a pointer to a struct with cfg tags, from a file whose root element is root. check looks
// for what no single attribute shows. The error is Problems, in the file's order.
func Decode(file string, text []byte, root string, into any, check func(Reporter)) error {
	d := &decoder{file: file}
	if n := d.parse(text); n != nil {
		if n.name != root {
			d.problem(n.Pos, "begin with <"+root+">", "the root element is <%s>", n.name)
		} else {
			d.fill(n, reflect.ValueOf(into).Elem())
			check(d.problem)
		}
	}
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Limits, &Limits{})
	setDefault(&s.Log, &Log{})
	setDefault(&s.Engines, &Engines{})
	l, e := s.Limits, s.Engines
	setDefault(&s.Replica.DrainTimeout, 30*time.Second)
	setDefault(&s.Replica.AnswerMargin, 100*time.Millisecond)
	setDefault(&s.Replica.Name, s.Replica.Listen)
	setDefault(&l.MaxOpenRequests, 20000)
	setDefault(&l.MaxConnections, 20000)
	setDefault(&l.MaxHeaderBytes, 32<<10)
	setDefault(&l.MaxHeaderFields, 100)
	setDefault(&l.MaxBodyBytes, 4<<20)
	setDefault(&l.MaxBufferedBodyBytes, 256<<20)
	setDefault(&l.MaxCollectedBytes, 4<<20)
	setDefault(&l.MaxEventBytes, 256<<10)
	setDefault(&l.HeaderTimeout, 10*time.Second)
	setDefault(&l.BodyTimeout, 30*time.Second)
	setDefault(&l.IdleTimeout, 60*time.Second)
	setDefault(&l.WriteTimeout, 10*time.Second)
	setDefault(&l.StreamIdleTimeout, 30*time.Second)
	setDefault(&s.Log.Format, "json")
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.LinesPerSecond, 100)
	setDefault(&e.Protocol, "vllm")
	setDefault(&e.DialTimeout, time.Second)
	setDefault(&e.MaxConnsPerEngine, 1024)
	setDefault(&e.MaxIdlePerEngine, 32)
	setDefault(&e.IdleTimeout, 15*time.Second)
	if s.APIServer != nil {
		setDefault(&s.APIServer.KindLabel, "brackenbend.dev/kind")
		setDefault(&s.APIServer.CellLabel, "brackenbend.dev/cell")
	}
	for i := range s.Classes {
		setDefault(&s.Classes[i].PriorityWeight, 1)
	}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

var (
	effects = map[string]routing.Idempotency{"safe": routing.Idempotent, "keyed": routing.IdempotentWithKey, "unsafe": routing.NotIdempotent}
	groups  = map[string]routing.DedupScope{"": routing.DedupAll, "all": routing.DedupAll, "zone": routing.DedupZone, "cell": routing.DedupCell}
	roles   = map[string]routing.Role{"reader": routing.RolePrefill, "writer": routing.RoleDecode, "mixed": routing.RoleMixed}
	sources = map[string]api.Source{
		"path": api.FromPath, "model": api.FromModel, "header": api.FromHeader,
		"api-key-sha256": api.FromAPIKey, "user": api.FromUser, "system-messages": api.FromSystemMessages,
		"first-message": api.FromFirstMessage, "opening": api.FromOpening,
	}
)

// RoutingConfig is what the decision module is told.
func (s *Settings) RoutingConfig() routing.Config {
	v := s.Service
	c := routing.Config{
		Replicas: v.Replicas, MaxAttempts: v.MaxAttempts, MaxRetryAfter: v.MaxRetryAfter, StateTTL: v.StateTTL,
		DrainGrace: v.DrainGrace, SlowStartFrom: v.SlowStartFrom, SlowStartFor: v.SlowStartFor, OverloadFactor: v.OverloadFactor, OverloadAfter: v.OverloadAfter,
		DecodeCanPrefill: v.DecodeCanPrefill, CanCancel: v.CanCancel, OverQuotaWeight: v.OverQuotaWeight,
		WeightByWork: v.WeightBy == "work",
	}
	if s.Engines != nil {
		c.LoadReportFields = strings.Fields(s.Engines.LoadReportFields)
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, routing.Class{
			Name: k.Name, LatencyObjective: k.LatencyObjective, LatencyObjectivePer1000: k.LatencyObjectivePer1000, TokenLatencyObjective: k.TokenLatencyObjective,
			Deadline: k.Deadline, PriorityWeight: k.PriorityWeight, LateWeight: k.LateWeight, Idempotency: effects[k.Idempotency], DedupScope: groups[k.DedupScope], DedupWindow: k.DedupWindow,
		})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, routing.Tenant{QuotaPerS: float64(t.Quota), Share: t.Share})
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, routing.Kind{Role: roles[k.Role], Memory: float64(k.Memory)})
	}
	return c
}

// Classifier is how traits are read off requests.
func (s *Settings) Classifier() *api.Classifier {
	c := &api.Classifier{DefaultClass: s.classIndex(s.Service.DefaultClass), DefaultTenant: s.tenantIndex(s.Service.DefaultTenant)}
	if len(s.Classes) == 1 {
		c.DefaultClass = 0
	}
	if len(s.Tenants) < 2 {
		c.DefaultTenant = 0
	}
	for _, r := range s.Rules {
		m := api.Match{From: sources[r.When], Name: r.Name, Equals: r.Equals, Prefix: r.Begins}
		if r.Class != "" {
			c.Classes = append(c.Classes, api.Rule{Match: m, Index: s.classIndex(r.Class)})
		}
		if r.Tenant != "" {
			c.Tenants = append(c.Tenants, api.Rule{Match: m, Index: s.tenantIndex(r.Tenant)})
		}
	}
	keys := func(ks []Key) (out []api.Key) {
		for _, k := range ks {
			out = append(out, api.Key{From: sources[k.From], Name: k.Name, Bytes: int(k.Bytes)})
		}
		return out
	}
	c.Sessions, c.Prefixes = keys(s.Sessions), keys(s.Prefixes)
	for _, m := range s.Models {
		c.Models = append(c.Models, api.Model{Name: m.Name, BytesPerToken: m.BytesPerToken, MaxOutput: int(m.MaxOutput)})
	}
	return c
}

func (s *Settings) classIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

func (s *Settings) tenantIndex(name string) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
}

// KindIndex finds a kind by its name, -1 where there is none.
func (s *Settings) KindIndex(name string) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
}

// check finds contradictions that no single attribute shows.
func (s *Settings) check(report Reporter) {
	unique(report, "class", s.Classes, func(c Class) (Pos, string) { return c.Pos, c.Name })
	unique(report, "tenant", s.Tenants, func(t Tenant) (Pos, string) { return t.Pos, t.Name })
	unique(report, "kind", s.Kinds, func(k Kind) (Pos, string) { return k.Pos, k.Name })
	unique(report, "model", s.Models, func(m Model) (Pos, string) { return m.Pos, m.Name })
	unique(report, "server", s.Servers, func(v Server) (Pos, string) { return v.Pos, v.Name })
	s.checkService(report)
	for _, c := range s.Classes {
		if c.Deadline > 0 && c.LatencyObjective > c.Deadline {
			report(c.Pos, "make aim smaller or deadline larger", "<class name=%q>: aim %v is past deadline %v", c.Name, c.LatencyObjective, c.Deadline)
		}
		if c.Deadline == 0 {
			report(c.Pos, "give the time a client waits, such as 5s", "<class name=%q>: a deadline of 0", c.Name)
		}
		if (c.Idempotency == "keyed") != (c.DedupWindow > 0) {
			report(c.Pos, "give window with effect=\"keyed\", and only there", "<class name=%q>: effect %s with a window of %v", c.Name, c.Idempotency, c.DedupWindow)
		}
		if c.DedupScope != "" && c.Idempotency != "keyed" {
			report(c.Pos, "remove group, or set effect=\"keyed\"", "<class name=%q>: group without effect keyed", c.Name)
		}
		if c.LateWeight > 1 {
			report(c.Pos, "write a part from 0 to 1", "<class name=%q>: late-worth %v", c.Name, c.LateWeight)
		}
	}
	for _, m := range s.Models {
		if m.BytesPerToken == 0 || m.MaxOutput == 0 {
			report(m.Pos, "give figures above 0", "<model name=%q>: bytes-per-token or max-output is 0", m.Name)
		}
	}
	for _, r := range s.Rules {
		s.checkRule(report, r)
	}
	for _, k := range slices.Concat(s.Sessions, s.Prefixes) {
		if (k.From == "header") != (k.Name != "") {
			report(k.Pos, "give name with from=\"header\", and only there", "from=%q with name=%q", k.From, k.Name)
		}
		if (k.From == "opening") != (k.Bytes > 0) {
			report(k.Pos, "give bytes with from=\"opening\", and only there", "from=%q with bytes=%d", k.From, k.Bytes)
		}
	}
	s.checkServers(report)
}

func (s *Settings) checkService(report Reporter) {
	if f := s.Replica; f != nil {
		address(report, f.Pos, "listen", f.Listen)
		if f.Admin != "" {
			address(report, f.Pos, "admin", f.Admin)
			if f.Admin == f.Listen {
				report(f.Pos, "give admin a port of its own", "<front>: admin and listen are the same address")
			}
		}
	}
	v := s.Service
	if v == nil {
		return
	}
	if v.Replicas == 0 {
		report(v.Pos, "write how many fronts serve together", "<service>: fronts is 0")
	}
	if v.SlowStartFrom > 1 {
		report(v.Pos, "write a part from 0 to 1", "<service>: cold-from %v", v.SlowStartFrom)
	}
	if v.OverloadFactor > 0 && v.OverloadAfter == 0 {
		report(v.Pos, "add tip-after=\"2s\"", "<service>: overload-factor without tip-after")
	}
	if v.DefaultClass != "" && s.classIndex(v.DefaultClass) < 0 {
		report(v.Pos, "name a <class>", "<service>: default-class %q is no class", v.DefaultClass)
	}
	if v.DefaultTenant != "" && s.tenantIndex(v.DefaultTenant) < 0 {
		report(v.Pos, "name a <tenant>", "<service>: default-tenant %q is no tenant", v.DefaultTenant)
	}
}

func (s *Settings) checkRule(report Reporter, r Rule) {
	if (r.Equals == "") == (r.Begins == "") {
		report(r.Pos, "give one of equals and begins", "<rule> has both or neither of equals and begins")
	}
	if (r.Class == "") == (r.Tenant == "") {
		report(r.Pos, "give one of class and tenant", "<rule> has both or neither of class and tenant")
	}
	if (r.When == "header") != (r.Name != "") {
		report(r.Pos, "give name with when=\"header\", and only there", "<rule when=%q> with name=%q", r.When, r.Name)
	}
	if r.Class != "" && s.classIndex(r.Class) < 0 {
		report(r.Pos, "name a <class>", "<rule>: %q is no class", r.Class)
	}
	if r.Tenant != "" && s.tenantIndex(r.Tenant) < 0 {
		report(r.Pos, "name a <tenant>", "<rule>: %q is no tenant", r.Tenant)
	}
}

func (s *Settings) checkServers(report Reporter) {
	if s.APIServer == nil && len(s.Servers) == 0 {
		report(s.Pos, "add <server .../> lines or a <register .../>", "no engine can be known")
	}
	if s.APIServer != nil && len(s.Servers) > 0 {
		report(s.APIServer.Pos, "keep one of them", "both a <register> and a static list of <server>")
	}
	for _, v := range s.Servers {
		address(report, v.Pos, "address", v.Address)
		if s.KindIndex(v.Kind) < 0 {
			report(v.Pos, "name a <kind>", "<server name=%q>: %q is no kind", v.Name, v.Kind)
		}
	}
	if s.APIServer != nil {
		if u, err := url.Parse(s.APIServer.URL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			report(s.APIServer.Pos, "write it like http://127.0.0.1:7000", "<register> url=%q is no http or https URL", clip(s.APIServer.URL))
		}
	}
}

func address(report Reporter, p Pos, name, v string) {
	if _, port, err := net.SplitHostPort(v); v != "" && (err != nil || port == "") {
		report(p, "write it like 127.0.0.1:8080", "%s=%q is no host and port", name, clip(v))
	}
}

func unique[T any](report Reporter, what string, list []T, of func(T) (Pos, string)) {
	seen := map[string]int{}
	for _, e := range list {
		p, name := of(e)
		if line, ok := seen[name]; ok && name != "" {
			report(p, fmt.Sprintf("rename one; the other is on line %d", line), "<%s name=%q> stands twice", what, name)
		}
		seen[name] = p.Line
	}
}

// CheckReload tells whether two settings differ only in what a running front can take: models, rules,
// sessions and prefixes. The error names the first element that differs elsewhere.
func CheckReload(a, b *Settings) error {
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range x.NumField() {
		tag, ok := parseTag(x.Type().Field(i))
		if !ok || slices.Contains([]string{"model", "rule", "session", "prefix"}, tag.name) {
			continue
		}
		if !sameBut(x.Field(i), y.Field(i)) {
			return fmt.Errorf("<%s> differs; it takes effect only at a restart", tag.name)
		}
	}
	return nil
}

// sameBut compares values but for places in the file.
func sameBut(a, b reflect.Value) bool {
	switch a.Kind() {
	case reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			return a.IsNil() == b.IsNil()
		}
		return sameBut(a.Elem(), b.Elem())
	case reflect.Slice:
		if a.Len() != b.Len() {
			return false
		}
		for i := range a.Len() {
			if !sameBut(a.Index(i), b.Index(i)) {
				return false
			}
		}
		return true
	case reflect.Struct:
		if a.Type() == reflect.TypeFor[Pos]() {
			return true
		}
		for i := range a.NumField() {
			if !sameBut(a.Field(i), b.Field(i)) {
				return false
			}
		}
		return true
	}
	return a.Equal(b)
}
