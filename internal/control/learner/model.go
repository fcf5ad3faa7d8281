package learner

import (
	"math"
	"time"
)

// The model of a service is linear in the logarithm of its latency:
//
//	log(p99) = base + load*(rate/mean rate - 1) + sum over classes of effect*share
//
// A Kalman filter estimates base, load and the effect of each class. To forget
// old data, the variances grow slowly with time, up to those of the prior.
const (
	baseIndex = iota
	loadIndex
	firstClass
)

const (
	priorVariance = 0.04 // of an effect; a standard deviation of about 20%
	baseVariance  = 4.0
	loadVariance  = 0.25
	initialNoise  = 0.05  // variance of a measured log(p99)
	minNoise      = 0.002 // lower bound of that variance
	noiseWeight   = 0.05  // weight of the latest residual in the noise estimate
	maxResidual   = 3.0   // residuals are clipped at this number of standard deviations
	rateWeight    = 0.02  // weight of the latest rate in the mean rate
	fewRequests   = 100   // with fewer requests, the noise of a p99 grows in inverse proportion
	shrinkage     = 2.0   // weight of the prior in a mean, in pairs of full confidence
	maxLoadTerm   = 3.0   // limit of rate/mean rate - 1
)

type sample struct {
	at       time.Time
	latency  time.Duration
	requests int64
	rate     float64
	shares   map[string]float64
}

// model is the estimate for one service.
type model struct {
	index    map[string]int // index of each class in state
	names    []string       // class names, by index in state minus firstClass
	seen     []time.Time    // when each class was last observed
	state    []float64
	cov      [][]float64
	noise    float64
	meanRate float64
	mean     mean // mean effect over the classes of this service
	at       time.Time
}

// mean is a mean of effects weighted by confidence.
type mean struct{ sum, weight float64 }

// value returns the mean, shrunk towards a prior with the weight of a few
// pairs.
func (m mean) value(prior float64) float64 {
	return (m.sum + shrinkage*prior) / (m.weight + shrinkage)
}

func (l *Learner) model(service string, now time.Time) *model {
	if m := l.services[service]; m != nil {
		return m
	}
	if len(l.services) >= l.config.MaxServices {
		l.dropOldestService()
	}
	m := &model{
		index: make(map[string]int), state: make([]float64, firstClass), noise: initialNoise, at: now,
		cov: [][]float64{{baseVariance, 0}, {0, loadVariance}},
	}
	l.services[service] = m
	return m
}

func (l *Learner) dropOldestService() {
	oldest := ""
	for name, m := range l.services {
		if oldest == "" || m.at.Before(l.services[oldest].at) {
			oldest = name
		}
	}
	l.updateMeans(l.services[oldest], -1)
	delete(l.services, oldest)
}

// learn processes one measurement.
func (m *model) learn(l *Learner, s sample) {
	l.updateMeans(m, -1)
	m.increaseVariance(l.config.ForgetAfter, s.at)
	for class, share := range s.shares {
		if share > 0 {
			m.observeClass(l, class, s.at)
		}
	}
	y := math.Log(float64(s.latency))
	if m.meanRate == 0 {
		m.meanRate, m.state[baseIndex] = s.rate, y
	}
	m.update(m.regressors(s), y, float64(s.requests))
	m.meanRate += rateWeight * (s.rate - m.meanRate)
	l.updateMeans(m, 1)
}

func (m *model) regressors(s sample) []float64 {
	x := make([]float64, len(m.state))
	x[baseIndex] = 1
	x[loadIndex] = min(maxLoadTerm, s.rate/m.meanRate-1)
	for class, share := range s.shares {
		if i, ok := m.index[class]; ok {
			x[i] = share
		}
	}
	return x
}

// update performs one step of the filter. The residual is clipped: a pause of
// the VM or load from elsewhere may multiply a p99 once and must not be
// attributed to the co-located tasks.
func (m *model) update(x []float64, y, requests float64) {
	n := len(x)
	gain := make([]float64, n)
	predicted, variance := 0.0, m.noise*max(1, fewRequests/requests)
	for i := range n {
		predicted += m.state[i] * x[i]
		for j := range n {
			gain[i] += m.cov[i][j] * x[j]
		}
	}
	for i := range n {
		variance += gain[i] * x[i]
	}
	limit := maxResidual * math.Sqrt(variance)
	residual := max(-limit, min(limit, y-predicted))
	for i := range n {
		m.state[i] += gain[i] / variance * residual
		for j := range n {
			m.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
	residualAfter := residual * (1 - (variance-m.noise)/variance)
	m.noise = max(minNoise, m.noise+noiseWeight*(residualAfter*residual-m.noise))
}

// increaseVariance increases the variances with the time since the last
// measurement, up to those of the prior.
func (m *model) increaseVariance(forgetAfter time.Duration, now time.Time) {
	growth := min(1, max(0, float64(now.Sub(m.at))/float64(forgetAfter)))
	m.at = now
	for i := range m.state {
		limit := priorVariance
		switch i {
		case baseIndex:
			limit = baseVariance
		case loadIndex:
			limit = loadVariance
		}
		m.cov[i][i] = min(limit, m.cov[i][i]+growth*min(limit, priorVariance))
	}
}

// observeClass marks a class as observed and adds a state for it if it has
// none. A new state starts from the effects of the class on other services.
func (m *model) observeClass(l *Learner, class string, now time.Time) {
	if i, ok := m.index[class]; ok {
		m.seen[i-firstClass] = now
		return
	}
	prior := l.expectedEffect(m, class)
	if len(m.names) >= l.config.MaxClasses {
		m.replaceOldest(class, prior, now)
		return
	}
	m.index[class] = len(m.state)
	m.names, m.seen = append(m.names, class), append(m.seen, now)
	m.state = append(m.state, prior)
	for i := range m.cov {
		m.cov[i] = append(m.cov[i], 0)
	}
	row := make([]float64, len(m.state))
	row[len(row)-1] = priorVariance
	m.cov = append(m.cov, row)
}

func (m *model) replaceOldest(class string, prior float64, now time.Time) {
	oldest := 0
	for i := range m.seen {
		if m.seen[i].Before(m.seen[oldest]) {
			oldest = i
		}
	}
	at := oldest + firstClass
	delete(m.index, m.names[oldest])
	m.index[class], m.names[oldest], m.seen[oldest] = at, class, now
	m.state[at] = prior
	for i := range m.cov {
		m.cov[i][at], m.cov[at][i] = 0, 0
	}
	m.cov[at][at] = priorVariance
}

// confidence returns the reduction in variance of a state relative to the
// prior, from 0 to 1.
func (m *model) confidence(i int) float64 {
	return max(0, min(1, 1-m.cov[i][i]/priorVariance))
}

// updateMeans adds the effects of a service to the means (sign 1) or removes
// them (sign -1).
func (l *Learner) updateMeans(m *model, sign float64) {
	m.mean = mean{}
	for k, class := range m.names {
		i := k + firstClass
		c := m.confidence(i)
		sum, weight := sign*c*max(0, m.state[i]), sign*c
		classMean := l.classes[class]
		if classMean == nil {
			classMean = &mean{}
			l.classes[class] = classMean
		}
		classMean.sum, classMean.weight = classMean.sum+sum, classMean.weight+weight
		l.all.sum, l.all.weight = l.all.sum+sum, l.all.weight+weight
		m.mean.sum, m.mean.weight = m.mean.sum+c*max(0, m.state[i]), m.mean.weight+c
	}
	l.dropEmptyClasses()
}

// dropEmptyClasses removes class means without weight, so that their number
// stays bounded.
func (l *Learner) dropEmptyClasses() {
	if len(l.classes) <= l.config.MaxClasses*2 {
		return
	}
	const negligibleWeight = 1e-6
	for class, m := range l.classes {
		if m.weight < negligibleWeight {
			delete(l.classes, class)
		}
	}
}

// expectedEffect returns the effect expected for a pair without data: the mean
// of the class, shrunk to the mean of the service, which is shrunk to the mean
// of all pairs, which is shrunk to the prior.
func (l *Learner) expectedEffect(m *model, class string) float64 {
	prior := l.all.value(math.Log1p(l.config.PriorSlowdown))
	if m != nil {
		prior = m.mean.value(prior)
	}
	if classMean := l.classes[class]; classMean != nil {
		return classMean.value(prior)
	}
	return prior
}

// Interference predicts the relative slowdown that one task of a class causes a
// service on the same VM (0.2: 20% higher latency), and returns the confidence
// in it from 0 to 1.
func (l *Learner) Interference(service, class string) (slowdown, confidence float64) {
	m := l.services[service]
	expected := l.expectedEffect(m, class)
	if m == nil {
		return math.Expm1(max(0, expected)), 0
	}
	i, ok := m.index[class]
	if !ok {
		return math.Expm1(max(0, expected)), 0
	}
	c := m.confidence(i)
	return math.Expm1(max(0, c*m.state[i]+(1-c)*expected)), c
}
