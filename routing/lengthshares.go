package routing

const (
	// minDispatchFraction is the least dispatch rate (dispatched requests per arrival) of a band of long
	// prompts, as a fraction of the rate over all prompts: one half, plus a margin for promoted requests that
	// find no capacity.
	minDispatchFraction = 0.65
	// shareDecayPerArrival is the fraction by which each arrival decays all counts.
	shareDecayPerArrival = 0.005
)

// lengthShares counts arrived and dispatched requests by prompt length band, so that the queue can promote
// requests of a band that is underserved. Promotion by age alone is not enough: under lasting overload,
// dispatching the shortest prompt first leaves the longest prompts in the queue until their latency
// objective, and they are given up before they reach the starvation age.
type lengthShares struct {
	lengths promptLengths
	counts  [bandLongest + 1]struct{ arrived, dispatched float64 }
}

// countArrival decays the counts and adds a new request.
func (s *lengthShares) countArrival(req *request) {
	s.lengths.add(req.PromptTokens)
	for band := range s.counts {
		s.counts[band].arrived *= 1 - shareDecayPerArrival
		s.counts[band].dispatched *= 1 - shareDecayPerArrival
	}
	s.counts[s.lengths.band(req.PromptTokens)].arrived++
}

// countDispatch adds a request whose first attempt is sent.
func (s *lengthShares) countDispatch(req *request) {
	s.counts[s.lengths.band(req.PromptTokens)].dispatched++
}

// underserved reports whether the dispatch rate of a band, with one more request dispatched, is still below
// minDispatchFraction of the rate over all bands.
func (s *lengthShares) underserved(band lengthBand) bool {
	arrived, dispatched := 0.0, 0.0
	for _, count := range s.counts {
		arrived += count.arrived
		dispatched += count.dispatched
	}
	own := s.counts[band]
	return (own.dispatched+1)*arrived < minDispatchFraction*dispatched*own.arrived
}

// mayPromote reports whether a queued request belongs to a band and may be promoted as one of it. Requests
// beyond their tenant's quota may not.
func (s *lengthShares) mayPromote(req *request, band lengthBand) bool {
	return !req.queued.overQuota && s.lengths.band(req.PromptTokens) == band
}
