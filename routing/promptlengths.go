package routing

import (
	"math"
	"slices"
)

const (
	// recentPrompts is how many prompts the lengths are kept of, and minRecentPrompts from how many on
	// prompts are told apart by length.
	recentPrompts    = 256
	minRecentPrompts = 10
	// longestPart and longPart bound the bands: the longest tenth of the prompts, and with it the next fifth.
	longestPart = 0.1
	longPart    = 0.3
)

// lengthBand is a class of prompts by length, against the recent ones of this replica.
type lengthBand uint8

const (
	bandShort   lengthBand = iota
	bandLong               // of the longest three tenths, but not of the longest tenth
	bandLongest            // of the longest tenth
)

// promptLengths keeps the lengths of recent prompts, in tokens.
type promptLengths struct {
	recent []float64 // in a ring
	oldest int       // index in recent, once that is full
	sorted []float64 // the same, ascending
}

// add counts the prompt of a new request.
func (l *promptLengths) add(tokens float64) {
	if len(l.recent) < recentPrompts {
		l.recent = append(l.recent, tokens)
	} else {
		i, _ := slices.BinarySearch(l.sorted, l.recent[l.oldest])
		l.sorted = slices.Delete(l.sorted, i, i+1)
		l.recent[l.oldest] = tokens
		l.oldest = (l.oldest + 1) % recentPrompts
	}
	i, _ := slices.BinarySearch(l.sorted, tokens)
	l.sorted = slices.Insert(l.sorted, i, tokens)
}

// bounds are the indices in sorted at which the bands of long and of longest prompts begin. Prompts of one
// length are of one band.
func (l *promptLengths) bounds() (long, longest int) {
	n := len(l.sorted)
	if n < minRecentPrompts {
		return n, n
	}
	long, _ = slices.BinarySearch(l.sorted, l.sorted[n-int(longPart*float64(n))])
	longest, _ = slices.BinarySearch(l.sorted, l.sorted[n-int(longestPart*float64(n))])
	return long, longest
}

// band is the band of a prompt.
func (l *promptLengths) band(tokens float64) lengthBand {
	long, longest := l.bounds()
	switch {
	case longest < len(l.sorted) && tokens >= l.sorted[longest]:
		return bandLongest
	case long < len(l.sorted) && tokens >= l.sorted[long]:
		return bandLong
	default:
		return bandShort
	}
}

// ofBand returns the recent lengths of a band, ascending.
func (l *promptLengths) ofBand(band lengthBand) []float64 {
	long, longest := l.bounds()
	switch band {
	case bandLongest:
		return l.sorted[longest:]
	case bandLong:
		return l.sorted[long:longest]
	default:
		return l.sorted[:long]
	}
}

// mean is the mean recent length.
func (l *promptLengths) mean() float64 {
	sum := 0.0
	for _, tokens := range l.sorted {
		sum += tokens
	}
	return sum / float64(max(len(l.sorted), 1))
}

const (
	// minAdmissionShare is the part of the mean chance of admission that a band of long prompts has at least:
	// half, and a margin for lengths that change.
	minAdmissionShare = 0.55
	// longAdmissionExponent is how steeply the chance falls with length inside such a band.
	longAdmissionExponent = 2
	// admissionSearchSteps is how often the search for a band's budget halves its range.
	admissionSearchSteps = 12
)

// admission is the chance of admission of a prompt of a length, for a budget: the tokens up to which prompts
// are admitted for certain. A longer prompt has the chance that makes the mean of its admitted tokens the
// budget, so that no length takes more work than another. A band of long prompts has together at least
// minAdmissionShare of the mean chance of all; inside it shorter prompts have more, as they cost less.
func (l *promptLengths) admission(tokens, budget float64) float64 {
	chance := admissionChance(tokens, budget, 1)
	band := l.band(tokens)
	if band == bandShort {
		return chance
	}
	lengths := l.ofBand(band)
	part := float64(len(lengths)) / float64(len(l.sorted))
	own := meanAdmission(lengths, budget, 1)
	// What the band gets more than its own chance raises the mean of all too.
	others := meanAdmission(l.sorted, budget, 1) - part*own
	wanted := minAdmissionShare * others / (1 - minAdmissionShare*part)
	if own >= wanted {
		return chance
	}
	low, high := budget, lengths[len(lengths)-1]+promptOverhead
	for range admissionSearchSteps {
		middle := (low + high) / 2
		if meanAdmission(lengths, middle, longAdmissionExponent) < wanted {
			low = middle
		} else {
			high = middle
		}
	}
	return max(chance, admissionChance(tokens, high, longAdmissionExponent))
}

// meanAdmission is the mean chance of prompts.
func meanAdmission(lengths []float64, budget, exponent float64) float64 {
	sum := 0.0
	for _, tokens := range lengths {
		sum += admissionChance(tokens, budget, exponent)
	}
	return sum / float64(len(lengths))
}

func admissionChance(tokens, budget, exponent float64) float64 {
	return min(math.Pow(budget/(tokens+promptOverhead), exponent), 1)
}
