package config

import (
	"fmt"
	"net"
	"net/url"
	"slices"
)

// check reports the problems that decoding one attribute can't find: duplicate names, references to missing elements,
// values out of range, and attributes or elements that contradict each other.
func (s *Settings) check(report Reporter) {
	checkUnique(report, "class", s.Classes, func(c Class) (Pos, string) { return c.Pos, c.Name })
	checkUnique(report, "tenant", s.Tenants, func(t Tenant) (Pos, string) { return t.Pos, t.Name })
	checkUnique(report, "kind", s.Kinds, func(k Kind) (Pos, string) { return k.Pos, k.Name })
	checkUnique(report, "model", s.Models, func(m Model) (Pos, string) { return m.Pos, m.Name })
	checkUnique(report, "server", s.StaticEndpoints, func(v StaticEndpoint) (Pos, string) { return v.Pos, v.Name })
	s.checkReplica(report)
	s.checkService(report)
	for _, c := range s.Classes {
		c.check(report)
	}
	for _, m := range s.Models {
		if m.BytesPerToken == 0 || m.MaxOutputTokens == 0 {
			report(m.Pos, "give figures above 0", "<model name=%q>: bytes-per-token or max-output is 0", m.Name)
		}
	}
	for _, r := range s.Rules {
		s.checkRule(report, r)
	}
	for _, k := range slices.Concat(s.SessionKeys, s.PrefixKeys) {
		k.check(report)
	}
	s.checkEndpointList(report)
}

func (c *Class) check(report Reporter) {
	if c.Deadline > 0 && c.LatencyObjective > c.Deadline {
		report(
			c.Pos,
			"make aim smaller or deadline larger",
			"<class name=%q>: aim %v is past deadline %v",
			c.Name,
			c.LatencyObjective,
			c.Deadline,
		)
	}
	if c.Deadline == 0 {
		report(c.Pos, "give the time a client waits, such as 5s", "<class name=%q>: a deadline of 0", c.Name)
	}
	if (c.Idempotency == "keyed") != (c.DedupWindow > 0) {
		report(
			c.Pos,
			"give window with effect=\"keyed\", and only there",
			"<class name=%q>: effect %s with a window of %v",
			c.Name,
			c.Idempotency,
			c.DedupWindow,
		)
	}
	if c.DedupScope != "" && c.Idempotency != "keyed" {
		report(c.Pos, "remove group, or set effect=\"keyed\"", "<class name=%q>: group without effect keyed", c.Name)
	}
	if c.LateWeight > 1 {
		report(c.Pos, "write a part from 0 to 1", "<class name=%q>: late-worth %v", c.Name, c.LateWeight)
	}
}

func (k *AffinityKey) check(report Reporter) {
	if (k.Source == "header") != (k.HeaderName != "") {
		report(k.Pos, "give name with from=\"header\", and only there", "from=%q with name=%q", k.Source, k.HeaderName)
	}
	if (k.Source == "opening") != (k.PrefixBytes > 0) {
		report(k.Pos, "give bytes with from=\"opening\", and only there", "from=%q with bytes=%d", k.Source, k.PrefixBytes)
	}
}

func (s *Settings) checkReplica(report Reporter) {
	r := s.Replica
	if r == nil {
		return
	}
	checkAddress(report, r.Pos, "listen", r.Listen)
	if r.Admin == "" {
		return
	}
	checkAddress(report, r.Pos, "admin", r.Admin)
	if r.Admin == r.Listen {
		report(r.Pos, "give admin a port of its own", "<front>: admin and listen are the same address")
	}
}

func (s *Settings) checkService(report Reporter) {
	service := s.Service
	if service == nil {
		return
	}
	if service.Replicas == 0 {
		report(service.Pos, "write how many fronts serve together", "<service>: fronts is 0")
	}
	if service.SlowStartFrom > 1 {
		report(service.Pos, "write a part from 0 to 1", "<service>: cold-from %v", service.SlowStartFrom)
	}
	if service.OverloadFactor > 0 && service.OverloadAfter == 0 {
		report(service.Pos, "add tip-after=\"2s\"", "<service>: overload-factor without tip-after")
	}
	if service.DefaultClass != "" && s.classIndex(service.DefaultClass) < 0 {
		report(service.Pos, "name a <class>", "<service>: default-class %q is no class", service.DefaultClass)
	}
	if service.DefaultTenant != "" && s.tenantIndex(service.DefaultTenant) < 0 {
		report(service.Pos, "name a <tenant>", "<service>: default-tenant %q is no tenant", service.DefaultTenant)
	}
}

func (s *Settings) checkRule(report Reporter, r Rule) {
	if (r.Equals == "") == (r.Prefix == "") {
		report(r.Pos, "give one of equals and begins", "<rule> has both or neither of equals and begins")
	}
	if (r.Class == "") == (r.Tenant == "") {
		report(r.Pos, "give one of class and tenant", "<rule> has both or neither of class and tenant")
	}
	if (r.Source == "header") != (r.HeaderName != "") {
		report(r.Pos, "give name with when=\"header\", and only there", "<rule when=%q> with name=%q", r.Source, r.HeaderName)
	}
	if r.Class != "" && s.classIndex(r.Class) < 0 {
		report(r.Pos, "name a <class>", "<rule>: %q is no class", r.Class)
	}
	if r.Tenant != "" && s.tenantIndex(r.Tenant) < 0 {
		report(r.Pos, "name a <tenant>", "<rule>: %q is no tenant", r.Tenant)
	}
}

func (s *Settings) checkEndpointList(report Reporter) {
	if s.APIServer == nil && len(s.StaticEndpoints) == 0 {
		report(s.Pos, "add <server .../> lines or a <register .../>", "there is no list of engines")
	}
	if s.APIServer != nil && len(s.StaticEndpoints) > 0 {
		report(s.APIServer.Pos, "keep one of them", "both a <register> and a static list of <server>")
	}
	for _, v := range s.StaticEndpoints {
		checkAddress(report, v.Pos, "address", v.Address)
		if s.KindIndex(v.Kind) < 0 {
			report(v.Pos, "name a <kind>", "<server name=%q>: %q is no kind", v.Name, v.Kind)
		}
	}
	if s.APIServer != nil {
		if u, err := url.Parse(s.APIServer.URL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			report(
				s.APIServer.Pos,
				"write it like http://127.0.0.1:7000",
				"<register> url=%q is not an http or https URL",
				truncate(s.APIServer.URL),
			)
		}
	}
}

// checkAddress reports an address that is neither empty nor of the form host:port.
func checkAddress(report Reporter, p Pos, attribute, address string) {
	if _, port, err := net.SplitHostPort(address); address != "" && (err != nil || port == "") {
		report(p, "write it like 127.0.0.1:8080", "%s=%q is no host and port", attribute, truncate(address))
	}
}

// checkUnique reports each of the elements with the same name as an earlier one. Empty names are ignored. elementName
// is the name of the XML element, for the message.
func checkUnique[T any](report Reporter, elementName string, elements []T, posAndName func(T) (Pos, string)) {
	lineByName := map[string]int{}
	for _, e := range elements {
		p, name := posAndName(e)
		if line, ok := lineByName[name]; ok && name != "" {
			report(p, fmt.Sprintf("rename one; the other is on line %d", line), "<%s name=%q> stands twice", elementName, name)
		}
		lineByName[name] = p.Line
	}
}
