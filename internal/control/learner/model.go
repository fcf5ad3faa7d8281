package learner

import (
	"math"
	"time"
)

// The model of a service is linear in the logarithm of its latency:
//
//	log(p99) = base + load*(rate/mean rate - 1) + sum over classes of effect*share
//
// It is kept by a Kalman filter with one state for base, load and each class.
// Uncertainty grows slowly with time, up to the prior's, which forgets.
const (
	baseIndex = iota
	loadIndex
	firstClass
)

const (
	priorVariance  = 0.04 // of an effect: a standard deviation of about 20%
	baseVariance   = 4.0
	loadVariance   = 0.25
	startNoise     = 0.05
	minNoise       = 0.002
	noiseMemory    = 0.05 // weight of the latest residual in the noise
	clipAt         = 3.0  // standard deviations beyond which a residual counts no more
	rateMemory     = 0.02
	fewRequests    = 100 // below, a p99 is noisier in proportion
	shrinkage      = 2.0 // pairs' worth of weight of the prior in a mean
	maxLoadOverrun = 3.0
)

type sample struct {
	at       time.Time
	latency  time.Duration
	requests int64
	rate     float64
	shares   map[string]float64
}

// model is what is known of one service.
type model struct {
	index    map[string]int // of classes in the state
	names    []string       // of classes, by index - firstClass
	seen     []time.Time    // when each class was last observed
	state    []float64
	cov      [][]float64
	noise    float64
	meanRate float64
	mean     mean // over the classes of this service
	at       time.Time
}

// mean is a mean of effects weighted by confidence.
type mean struct{ sum, weight float64 }

// value shrinks the mean towards a prior that is worth a few pairs.
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
		index: make(map[string]int), state: make([]float64, firstClass), noise: startNoise, at: now,
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
	l.count(l.services[oldest], -1)
	delete(l.services, oldest)
}

// learn takes in one measurement.
func (m *model) learn(l *Learner, s sample) {
	l.count(m, -1)
	m.forget(l.config.ForgetAfter, s.at)
	for class, share := range s.shares {
		if share > 0 {
			m.touch(l, class, s.at)
		}
	}
	y := math.Log(float64(s.latency))
	if m.meanRate == 0 {
		m.meanRate, m.state[baseIndex] = s.rate, y
	}
	m.update(m.regressors(s), y, float64(s.requests))
	m.meanRate += rateMemory * (s.rate - m.meanRate)
	l.count(m, 1)
}

func (m *model) regressors(s sample) []float64 {
	x := make([]float64, len(m.state))
	x[baseIndex] = 1
	x[loadIndex] = min(maxLoadOverrun, s.rate/m.meanRate-1)
	for class, share := range s.shares {
		if i, ok := m.index[class]; ok {
			x[i] = share
		}
	}
	return x
}

// update is one step of the filter. The residual is clipped: a pause of the VM
// or a burst from elsewhere may multiply a p99 once and must not be put down to
// whatever ran beside it.
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
	limit := clipAt * math.Sqrt(variance)
	residual := max(-limit, min(limit, y-predicted))
	for i := range n {
		m.state[i] += gain[i] / variance * residual
		for j := range n {
			m.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
	after := residual * (1 - (variance-m.noise)/variance)
	m.noise = max(minNoise, m.noise+noiseMemory*(after*residual-m.noise))
}

// forget lets uncertainty grow by the time since the last measurement, up to
// the prior's.
func (m *model) forget(after time.Duration, now time.Time) {
	grown := min(1, max(0, float64(now.Sub(m.at))/float64(after)))
	m.at = now
	for i := range m.state {
		limit := priorVariance
		switch i {
		case baseIndex:
			limit = baseVariance
		case loadIndex:
			limit = loadVariance
		}
		m.cov[i][i] = min(limit, m.cov[i][i]+grown*min(limit, priorVariance))
	}
}

// touch makes sure that a class has a state. A new one starts from what is
// known of its class beside other services.
func (m *model) touch(l *Learner, class string, now time.Time) {
	if i, ok := m.index[class]; ok {
		m.seen[i-firstClass] = now
		return
	}
	prior := l.fallback(m, class)
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

// confidence tells how much surer the estimate of a state is than the prior.
func (m *model) confidence(i int) float64 {
	return max(0, min(1, 1-m.cov[i][i]/priorVariance))
}

// count adds the effects of a service to the means, or takes them out.
func (l *Learner) count(m *model, sign float64) {
	m.mean = mean{}
	for k, class := range m.names {
		i := k + firstClass
		c := m.confidence(i)
		sum, weight := sign*c*max(0, m.state[i]), sign*c
		of := l.classes[class]
		if of == nil {
			of = &mean{}
			l.classes[class] = of
		}
		of.sum, of.weight = of.sum+sum, of.weight+weight
		l.all.sum, l.all.weight = l.all.sum+sum, l.all.weight+weight
		m.mean.sum, m.mean.weight = m.mean.sum+c*max(0, m.state[i]), m.mean.weight+c
	}
	l.dropEmptyClasses()
}

// dropEmptyClasses bounds the means by the number of classes.
func (l *Learner) dropEmptyClasses() {
	if len(l.classes) <= l.config.MaxClasses*2 {
		return
	}
	const nothing = 1e-6
	for class, m := range l.classes {
		if m.weight < nothing {
			delete(l.classes, class)
		}
	}
}

// fallback is the expected effect of a pair that was never seen: the mean of
// the class, shrunk to that of the service, shrunk to the prior.
func (l *Learner) fallback(m *model, class string) float64 {
	prior := l.all.value(math.Log1p(l.config.PriorSlowdown))
	if m != nil {
		prior = m.mean.value(prior)
	}
	if of := l.classes[class]; of != nil {
		return of.value(prior)
	}
	return prior
}

// Interference predicts by how much one task of a class slows a service on the
// same VM (0.2: 20% longer answers), and how sure that is from 0 to 1.
func (l *Learner) Interference(service, class string) (slowdown, confidence float64) {
	m := l.services[service]
	expected := l.fallback(m, class)
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
