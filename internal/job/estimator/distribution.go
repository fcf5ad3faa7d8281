package estimator

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Distribution is the distribution of a run time at the speed of a sound VM.
type Distribution struct {
	declared time.Duration
	curve    *curve // nil: only the declared duration is known
	support  float64
	group    groupKey
}

// Known reports whether the distribution is learned from samples.
func (d Distribution) Known() bool { return d.curve != nil }

// Support returns the number of steps that the distribution is learned from.
func (d Distribution) Support() float64 { return d.support }

// Mean returns the expected run time.
func (d Distribution) Mean() time.Duration {
	if d.curve == nil {
		return d.declared
	}
	return d.scaled(d.curve.mean())
}

// Quantile returns the run time that a share of q of the runs does not exceed. q is from 0 to 1.
func (d Distribution) Quantile(q float64) time.Duration {
	if d.curve == nil {
		return d.declared
	}
	return d.scaled(d.curve.quantile(q))
}

// Left returns the expected rest of a run that has lasted for the given age.
func (d Distribution) Left(age time.Duration) time.Duration {
	if d.curve == nil {
		return max(d.declared-age, 0)
	}
	return d.scaled(d.curve.left(float64(max(age, 0)) / float64(d.declared)))
}

// progressTrust is the progress, in percent, at which the rate of a run counts as much as the
// distribution: progress is reported in steps, and starts take time.
const progressTrust = 10

const allDone = 100 // percent

// LeftAt returns the expected rest of a run that has lasted for the given age and reports progress, in
// percent: the further it is, the more its own rate counts. Progress of 0 counts as not reported.
func (d Distribution) LeftAt(age time.Duration, progress int) time.Duration {
	left := d.Left(age)
	if progress <= 0 || progress > allDone {
		return left
	}
	byRate := float64(age) * float64(allDone-progress) / float64(progress)
	trust := float64(progress) / float64(progress+progressTrust)
	return specifier.Span(trust*byRate + (1-trust)*float64(left))
}

func (d Distribution) scaled(ratio float64) time.Duration {
	return specifier.Span(ratio * float64(d.declared))
}
