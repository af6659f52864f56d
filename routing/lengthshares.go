package routing

const (
	// minDispatchShare is the part of what all requests get that a band of long prompts is to get at least:
	// half, and a margin for promoted requests that find no capacity.
	minDispatchShare = 0.65
	// shareDecay is the part of the counts that is forgotten with each arrival.
	shareDecay = 0.005
)

// lengthShares bounds how far shortest first favors short prompts. Under lasting overload the longest are
// given up at their objective before age alone would promote them, so it counts how many of each band of
// lengths were dispatched.
type lengthShares struct {
	lengths promptLengths
	counts  [bandLongest + 1]struct{ arrived, dispatched float64 }
}

// arrived counts a new request.
func (s *lengthShares) arrived(req *request) {
	s.lengths.add(req.PromptTokens)
	for band := range s.counts {
		s.counts[band].arrived *= 1 - shareDecay
		s.counts[band].dispatched *= 1 - shareDecay
	}
	s.counts[s.lengths.band(req.PromptTokens)].arrived++
}

// dispatched counts the first attempt of a request.
func (s *lengthShares) dispatched(req *request) {
	s.counts[s.lengths.band(req.PromptTokens)].dispatched++
}

// underserved reports that a band lacks a dispatch to have its least share.
func (s *lengthShares) underserved(band lengthBand) bool {
	arrived, dispatched := 0.0, 0.0
	for _, count := range s.counts {
		arrived += count.arrived
		dispatched += count.dispatched
	}
	own := s.counts[band]
	return (own.dispatched+1)*arrived < minDispatchShare*dispatched*own.arrived
}

// takes reports that a queued request may be promoted for a band.
func (s *lengthShares) takes(req *request, band lengthBand) bool {
	return !req.queued.overQuota && s.lengths.band(req.PromptTokens) == band
}
