package routing

import (
	"math"
	"slices"
)

const (
	// maxRecentPrompts is the number of prompts whose lengths are kept. Below minRecentPrompts all prompts
	// count as short.
	maxRecentPrompts = 256
	minRecentPrompts = 10
	// longestFraction is the fraction of recent prompts in bandLongest, and longFraction the fraction in
	// bandLong and bandLongest together.
	longestFraction = 0.1
	longFraction    = 0.3
)

// lengthBand ranks the length of a prompt among the recent prompts of this replica.
type lengthBand uint8

const (
	bandShort   lengthBand = iota
	bandLong               // among the longest 30 %, but not the longest 10 %
	bandLongest            // among the longest 10 %
)

// promptLengths keeps the lengths of recent prompts, in tokens.
type promptLengths struct {
	recent []float64 // ring buffer, in order of arrival
	oldest int       // index of the oldest length in recent, once the buffer is full
	sorted []float64 // the lengths in recent, ascending
}

// add records the length of a new prompt, in place of the oldest one if the buffer is full.
func (l *promptLengths) add(tokens float64) {
	if len(l.recent) < maxRecentPrompts {
		l.recent = append(l.recent, tokens)
	} else {
		i, _ := slices.BinarySearch(l.sorted, l.recent[l.oldest])
		l.sorted = slices.Delete(l.sorted, i, i+1)
		l.recent[l.oldest] = tokens
		l.oldest = (l.oldest + 1) % maxRecentPrompts
	}
	i, _ := slices.BinarySearch(l.sorted, tokens)
	l.sorted = slices.Insert(l.sorted, i, tokens)
}

// bandBounds returns the indices in sorted at which bandLong and bandLongest begin. Prompts of equal length
// are in the same band.
func (l *promptLengths) bandBounds() (long, longest int) {
	n := len(l.sorted)
	if n < minRecentPrompts {
		return n, n
	}
	long, _ = slices.BinarySearch(l.sorted, l.sorted[n-int(longFraction*float64(n))])
	longest, _ = slices.BinarySearch(l.sorted, l.sorted[n-int(longestFraction*float64(n))])
	return long, longest
}

// band returns the band of a prompt length.
func (l *promptLengths) band(tokens float64) lengthBand {
	long, longest := l.bandBounds()
	switch {
	case longest < len(l.sorted) && tokens >= l.sorted[longest]:
		return bandLongest
	case long < len(l.sorted) && tokens >= l.sorted[long]:
		return bandLong
	default:
		return bandShort
	}
}

// inBand returns the recent lengths in a band, ascending.
func (l *promptLengths) inBand(band lengthBand) []float64 {
	long, longest := l.bandBounds()
	switch band {
	case bandLongest:
		return l.sorted[longest:]
	case bandLong:
		return l.sorted[long:longest]
	default:
		return l.sorted[:long]
	}
}

// mean returns the mean of the recent lengths.
func (l *promptLengths) mean() float64 {
	sum := 0.0
	for _, tokens := range l.sorted {
		sum += tokens
	}
	return sum / float64(max(len(l.sorted), 1))
}

const (
	// minAdmissionFraction is the least mean admission probability of a band of long prompts, as a fraction
	// of the mean over all prompts: one half, plus a margin for a changing distribution of lengths.
	minAdmissionFraction = 0.55
	// longAdmissionExponent sets how steeply the admission probability falls with length in a band whose mean
	// was raised to that minimum.
	longAdmissionExponent = 2
	// admissionSearchSteps is the number of bisection steps in the search for a band's token budget.
	admissionSearchSteps = 12
)

// admissionProbability returns the probability with which a prompt is admitted under a token budget. Prompts
// up to the budget are always admitted. Longer prompts are admitted with a probability inversely proportional
// to their length, so that the expected admitted tokens are the same for each length. If that leaves the mean
// probability of a band of long prompts below minAdmissionFraction of the mean over all prompts, the band
// gets a larger budget of its own. Its probabilities then fall more steeply with length, since its shorter
// prompts cost less work.
func (l *promptLengths) admissionProbability(tokens, budget float64) float64 {
	probability := budgetProbability(tokens, budget, 1)
	band := l.band(tokens)
	if band == bandShort {
		return probability
	}
	lengths := l.inBand(band)
	fraction := float64(len(lengths)) / float64(len(l.sorted))
	own := meanBudgetProbability(lengths, budget, 1)
	// The mean over all prompts includes the band: solve mean = minAdmissionFraction * (others +
	// fraction*mean).
	others := meanBudgetProbability(l.sorted, budget, 1) - float64(fraction*own)
	required := minAdmissionFraction * others / (1 - float64(minAdmissionFraction*fraction))
	if own >= required {
		return probability
	}
	low, high := budget, lengths[len(lengths)-1]+promptOverhead
	for range admissionSearchSteps {
		middle := (low + high) / 2
		if meanBudgetProbability(lengths, middle, longAdmissionExponent) < required {
			low = middle
		} else {
			high = middle
		}
	}
	return max(probability, budgetProbability(tokens, high, longAdmissionExponent))
}

// meanBudgetProbability returns the mean of budgetProbability over prompt lengths.
func meanBudgetProbability(lengths []float64, budget, exponent float64) float64 {
	sum := 0.0
	for _, tokens := range lengths {
		sum += budgetProbability(tokens, budget, exponent)
	}
	return sum / float64(len(lengths))
}

// budgetProbability returns the probability with which a budget admits a prompt, before any minimum for its
// band.
func budgetProbability(tokens, budget, exponent float64) float64 {
	return min(math.Pow(budget/(tokens+promptOverhead), exponent), 1)
}
