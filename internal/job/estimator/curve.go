package estimator

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// curve is the survival function of the ratio of work to declared duration: the share of the tasks
// that need more than a ratio. It is a step function.
type curve struct {
	ratios  []float64 // ascending; at least one
	survive []float64 // share that needs more than the ratio; the last is 0
	area    []float64 // integral of the survival function from the ratio on
}

// tailFactor is how many times the longest sample what survives it is taken to last.
const tailFactor = 2

// newCurve estimates the survival function by the product-limit method (Kaplan-Meier): a stopped or
// continuing run says only that its task needs more than its work so far. The bars of all
// histograms begin alike and end at their highest counts.
func newCurve(done, stopped, continuing []hdrhistogram.Bar) *curve {
	atRisk := int64(0)
	for _, bars := range [][]hdrhistogram.Bar{done, stopped, continuing} {
		for _, b := range bars {
			atRisk += b.Count
		}
	}
	c := &curve{}
	share, last := 1.0, 1.0
	for i, b := range longest(done, stopped, continuing) {
		ratio := float64(b.From+b.To) / 2 / ratioUnit
		ended, censored := countAt(done, i), countAt(stopped, i)+countAt(continuing, i)
		if ended+censored > 0 {
			last = ratio
		}
		if ended > 0 {
			share *= 1 - float64(ended)/float64(atRisk)
			c.ratios, c.survive = append(c.ratios, ratio), append(c.survive, share)
		}
		atRisk -= ended + censored
	}
	if len(c.ratios) == 0 || share > 0 {
		c.ratios, c.survive = append(c.ratios, tailFactor*last), append(c.survive, 0)
	}
	c.area = make([]float64, len(c.ratios))
	for i := len(c.ratios) - 2; i >= 0; i-- {
		c.area[i] = c.area[i+1] + (c.ratios[i+1]-c.ratios[i])*c.survive[i]
	}
	return c
}

func longest(all ...[]hdrhistogram.Bar) (found []hdrhistogram.Bar) {
	for _, bars := range all {
		if len(bars) > len(found) {
			found = bars
		}
	}
	return found
}

func countAt(bars []hdrhistogram.Bar, i int) int64 {
	if i < len(bars) {
		return bars[i].Count
	}
	return 0
}

func (c *curve) mean() float64 { return c.ratios[0] + c.area[0] }

func (c *curve) quantile(q float64) float64 {
	const rounding = 1e-9
	i := sort.Search(len(c.survive), func(i int) bool { return c.survive[i] <= 1-q+rounding })
	return c.ratios[min(i, len(c.ratios)-1)]
}

// from returns the index of the first ratio above an age, and the share that needs more than the age.
func (c *curve) from(age float64) (next int, survive float64) {
	next = sort.Search(len(c.ratios), func(i int) bool { return c.ratios[i] > age })
	if next == 0 {
		return 0, 1
	}
	return next, c.survive[next-1]
}

// left returns the expected rest of a run of an age. One older than all samples is expected to last
// as long again.
func (c *curve) left(age float64) float64 {
	next, survive := c.from(age)
	if survive <= 0 || next == len(c.ratios) {
		return age
	}
	return (c.ratios[next] - age) + c.area[next]/survive
}
