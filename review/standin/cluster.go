package main

import "fmt"

// memoryMB is the largest limit on a node's memory on the days that are scored.
const memoryMB = 192

// cluster is a discovery agent with readers and writers.
type cluster struct {
	agent            *discovery
	readers, writers []*engine
}

// startCluster starts a discovery agent and engines, which answer as usual.
func startCluster(env *environment, readers, writers int) (*cluster, error) {
	agent, err := startDiscovery(env.rec)
	if err != nil {
		return nil, err
	}
	c := &cluster{agent: agent}
	for i := range readers + writers {
		name, flavor := fmt.Sprintf("reader-%d", i), "prefill"
		if i >= readers {
			name, flavor = fmt.Sprintf("writer-%d", i-readers), "decode"
		}
		e, err := startEngine(env.rec, name, flavor)
		if err != nil {
			return nil, err
		}
		agent.set(e.member)
		if i < readers {
			c.readers = append(c.readers, e)
		} else {
			c.writers = append(c.writers, e)
		}
	}
	return c, nil
}

// startNode starts a node that follows the cluster's discovery agent and has its present list as the known one.
func (c *cluster) startNode(env *environment, s *site) (*node, error) {
	return startNode(env, nodeOptions{
		name: "n0", discovery: c.agent.address(), known: c.agent.list(-1), memoryMB: memoryMB, settings: s.settings,
	})
}

// begun returns how often a request was begun at all engines.
func (c *cluster) begun(id string) int {
	times := 0
	for _, e := range append(append([]*engine{}, c.readers...), c.writers...) {
		times += e.begun(id)
	}
	return times
}
