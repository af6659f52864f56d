// Command standin-2 plays the cases 6 to 10 of the review: it starts the project's front node by the run line of the
// deploy file, and is its clients, engines, discovery and platform. Its exit code is 0 if the rule held, 1 if it was
// broken and 2 if the case couldn't run.
//
//	standin-2 CASE RECORD
//
// With TROUBLE=0 in the environment a case plays the same without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// result is how a case ended.
type result struct {
	broken bool
	text   string
}

// environment is what a case gets.
type environment struct {
	record  *record
	dir     string // temporary
	trouble bool
}

var cases = map[string]func(*environment) (result, error){
	"sigterm-stream": sigtermStream,
	"cold-start":     coldStart,
	"stream-pause":   streamPause,
	"slow-discovery": slowDiscovery,
	"hung-writer":    hungWriter,
	"keyed-window":   keyedWindow,
}

const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*environment) (result, error), recordFile string) int {
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	env := &environment{record: r, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	r.printf("trouble: %t", env.trouble)
	type ending struct {
		result
		err error
	}
	done := make(chan ending, 1)
	go func() {
		res, err := run(env)
		done <- ending{res, err}
	}()
	select {
	case e := <-done:
		switch {
		case e.err != nil:
			r.say("the case couldn't run: %v", e.err)
			return 2
		case e.broken:
			r.say("BROKEN: %s", e.text)
			return 1
		}
		r.say("held: %s", e.text)
		return 0
	case <-time.After(limit):
		r.say("the case couldn't run: it took over %v", limit)
		return 2 // the node ends with this process
	}
}

// settings returns the settings of a small deployment like pamoja-nairobi: readers and writers, one class that may be
// repeated and one that must never run twice, no client that asks for the rest of a broken stream.
func settings(nodes int) map[string]any {
	class := func(name string, deadline time.Duration, repeat string, importance float64) map[string]any {
		return map[string]any{
			"Name": name, "Deadline": deadline.Microseconds(), "Promise": 1000000, "Group": "all", "Importance": importance,
			"LateWorth": 0.2, "Repeat": repeat, "Stream": true, "Window": 5000000,
		}
	}
	return map[string]any{
		"Balancers": nodes, "Me": 0, "Tier": 0, "Tiers": []string{"model-fleet"}, "Zone": 0, "Zones": []string{"nbo-west"},
		"Caps": map[string]any{
			"AttemptsCap": 6, "Cancel": true, "ConnIdle": 30000000, "DialTimeout": 250000, "MaxOpen": 20000,
			"MaxRetryAfter": 1000000, "Multiplex": 32, "Peers": false, "Probes": false, "RetryAfter": true, "SecondCopies": false,
		},
		"Classes": []any{
			class("explain", 4*time.Second, "free", 2), class("review-post", 4*time.Second, "single_shot", 6),
		},
		"Clients": map[string]any{"MarksRetry": false}, "Discovery": "push", "Family": "twostage",
		"FamilyInfo": map[string]any{
			"Ahead": false, "AimUsPer1000PromptTokens": []float64{60000, 40000}, "KindRole": []string{"read", "write"},
			"KvTokens": []float64{200000, 140000}, "LocalRead": false, "MoveFee": 0.04, "Release": 500000, "Resume": false,
			"TokenAim": []float64{50000, 60000},
		},
		"Invariants": map[string]any{
			"AskWithin": 10000000, "Cold": 14000000, "ColdFrom": 0.25, "GraceToAnswer": 8000, "OverloadFactor": 2.5,
			"StopSendingWithin": 250000, "TipAfter": 2000000,
		},
		"Kinds": []string{"prefill", "decode"}, "OverShareWorth": 0.2,
		"Report": map[string]any{"Fields": []string{}, "How": "off"}, "Tenants": []any{}, "WeightSource": "off",
		"WorthBy": "work", "Resolution": 4000,
	}
}

// fleet is a discovery agent with its engines.
type fleet struct {
	discovery *discovery
	engines   []*engine
}

// startFleet starts readers r-1 ... and writers w-1 ..., and a discovery agent that lists them.
func startFleet(r *record, readers, writers int, configure func(*engine)) (*fleet, error) {
	states := &readStates{holder: map[string]*engine{}}
	f := &fleet{}
	var members []member
	add := func(id, flavor string) error {
		e := &engine{
			member: member{ID: id, Locality: "nbo-west", Flavor: flavor, Cell: 1}, record: r, states: states,
			readTime: 30 * time.Millisecond, firstTime: 30 * time.Millisecond, events: 10,
			gap: func(string, int) time.Duration { return 100 * time.Millisecond },
		}
		configure(e)
		if err := e.start(); err != nil {
			return err
		}
		f.engines, members = append(f.engines, e), append(members, e.member)
		return nil
	}
	for i := range readers {
		if err := add(fmt.Sprintf("s-r%d", i+1), "prefill"); err != nil {
			return nil, err
		}
	}
	for i := range writers {
		if err := add(fmt.Sprintf("s-w%d", i+1), "decode"); err != nil {
			return nil, err
		}
	}
	var err error
	f.discovery, err = startDiscovery(r, 41, members)
	return f, err
}

// startNode starts a front node that knows the fleet's list.
func (f *fleet) startNode(env *environment, name string, nodes int, edit ...func(map[string]any)) (*node, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, listen: listen, dir: env.dir, discovery: f.discovery.address, known: f.discovery.current(),
		settings: settings(nodes), record: env.record,
	}
	for _, change := range edit {
		change(n.settings)
	}
	if err := n.start(); err != nil {
		n.kill()
		return nil, err
	}
	return n, nil
}
