package guardian

import (
	"errors"
	"time"
)

const (
	// generationInterval is the unit in which an agent's process counts its first generation. A
	// process raises it less often, so the next one begins above it.
	generationInterval = 10 * time.Millisecond
	// MaxGeneration is the highest generation of a fence.
	MaxGeneration = int64(1)<<34 - 1
)

// firstGeneration returns the first generation of an agent's process.
func firstGeneration(uptime func() time.Duration) int64 {
	if uptime == nil {
		return 0
	}
	return min(int64(uptime()/generationInterval), MaxGeneration)
}

// fenceForStartLocked returns the fence of a start sent now. It is above that of the poll in progress,
// which another incarnation may carry out after the start.
func (g *Guardian) fenceForStartLocked() Fence {
	if g.pollInProgress && g.pollGeneration == g.generation {
		g.raiseGenerationLocked(1)
	}
	g.startGeneration = g.generation
	return g.fenceLocked()
}

// overtaken reports whether the worker refused a call only because a call with a fence that the agent has
// used since arrived before it.
func (g *Guardian) overtaken(sent Fence, err error) bool {
	var refused ErrRefused
	if !errors.As(err, &refused) || refused.Reason != RefusedEpoch {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return sent.Epoch == g.epoch && sent.Generation < g.generation
}

// fenceUnansweredStartLocked makes the next call fence off a start that got no answer. Starts that were
// sent together fail together and need one generation.
func (g *Guardian) fenceUnansweredStartLocked() {
	if g.startGeneration == g.generation {
		g.raiseGenerationLocked(1)
	}
}

func (g *Guardian) fenceLocked() Fence { return Fence{Epoch: g.epoch, Generation: g.generation} }

// raiseGenerationLocked makes all further calls fence off the earlier ones.
func (g *Guardian) raiseGenerationLocked(by int64) {
	g.generation = min(max(g.generation+by, firstGeneration(g.config.Uptime)), MaxGeneration)
}

// fenceFailedPoll raises the generation after a poll that may be carried out later. By then another
// incarnation may have taken its place, for which neither the lease nor the number of ends is meant.
func (g *Guardian) fenceFailedPoll(call PollCall, err error) {
	if IsErrWorkerUnreachable(err) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var refused ErrRefused
	switch {
	case !errors.As(err, &refused):
		g.raiseGenerationLocked(1)
	case refused.Reason == RefusedEpoch && g.epoch > 0 && call.Fence == g.fenceLocked():
		// A later call of an earlier process was carried out, whose generation is not known here.
		g.raiseGenerationLocked(g.generationStep)
		g.generationStep = min(2*g.generationStep, MaxGeneration)
	}
}
