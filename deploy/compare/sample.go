package main

import "math"

// sample collects one measure of pairs of trials that differ only in the source tree.
type sample struct {
	before, after []float64
}

func (s *sample) add(before, after float64) {
	s.before, s.after = append(s.before, before), append(s.after, after)
}

// difference returns the mean of the paired differences and the standard error of the
// mean, which is 0 for fewer than two pairs.
func (s *sample) difference() (mean, standardError float64) {
	n := float64(len(s.after))
	for i := range s.after {
		mean += (s.after[i] - s.before[i]) / n
	}
	if n < 2 {
		return mean, 0
	}
	squares := 0.0
	for i := range s.after {
		d := s.after[i] - s.before[i] - mean
		squares += d * d
	}
	return mean, math.Sqrt(squares / (n - 1) / n)
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
