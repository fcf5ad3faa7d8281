package admitter

import (
	"cmp"
	"slices"

	"bamboospread/internal/job/specifier"
)

// Room is the capacity that no long-running task holds or waits for.
type Room struct {
	VMs      []VMRoom `json:"vms,omitempty"`
	MemoryMB int64    `json:"memory-mb"` // of all VMs
}

// VMRoom counts the VMs with the same free processors.
type VMRoom struct {
	CPUMillis int64 `json:"cpu-millis"` // rounded up to whole cores
	Count     int64 `json:"count"`
}

// LongRunningVM is what a VM has left beside its long-running tasks.
type LongRunningVM struct{ CPUMillis, MemoryMB int64 }

// LongRunningTask is what a long-running task without a run needs.
type LongRunningTask struct{ CPUMillis, MemoryMB int64 }

// RoomOf returns what is left once the waiting tasks are placed, the largest first, each where the
// least is left after it. A task that fits nowhere takes nothing.
func RoomOf(vms []LongRunningVM, waiting []LongRunningTask) *Room {
	free := make([]int64, len(vms))
	r := &Room{}
	for i, vm := range vms {
		free[i] = vm.CPUMillis
		r.MemoryMB += vm.MemoryMB
	}
	waiting = slices.SortedFunc(slices.Values(waiting), func(a, b LongRunningTask) int { return cmp.Compare(b.CPUMillis, a.CPUMillis) })
	for _, t := range waiting {
		best := -1
		for i := range free {
			if free[i] >= t.CPUMillis && (best < 0 || free[i] < free[best]) {
				best = i
			}
		}
		if best >= 0 {
			free[best] -= t.CPUMillis
			r.MemoryMB -= t.MemoryMB
		}
	}
	const wholeCore = 1000
	slices.Sort(free)
	for _, cpu := range free {
		cpu = (max(cpu, 0) + wholeCore - 1) / wholeCore * wholeCore
		if n := len(r.VMs); n > 0 && r.VMs[n-1].CPUMillis == cpu {
			r.VMs[n-1].Count++
		} else if cpu > 0 {
			r.VMs = append(r.VMs, VMRoom{cpu, 1})
		}
	}
	return r
}

// holds reports whether the room holds enough tasks of each step of long-running jobs, all steps
// together.
func (r *Room) holds(steps []specifier.Step) bool {
	var free []int64
	for _, v := range r.VMs {
		free = append(free, slices.Repeat([]int64{v.CPUMillis}, int(v.Count))...)
	}
	memory := r.MemoryMB
	for _, s := range steps {
		want := max(s.Count-s.MaxUnavailable, 1)
		memory -= int64(want) * s.Needs.MemoryMB
		for i := range free {
			for n := 0; want > 0 && free[i] >= s.Needs.CPUMillis && (s.MaxPerVM <= 0 || n < s.MaxPerVM); n++ {
				free[i] -= s.Needs.CPUMillis
				want--
			}
		}
		if want > 0 {
			return false
		}
	}
	return memory >= 0
}
