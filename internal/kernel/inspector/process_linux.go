package inspector

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	bootFile         = "/proc/sys/kernel/random/boot_id"
	pidNamespaceFile = "/proc/self/ns/pid"
	// startTimeField is the index of the start time in /proc/PID/stat, counted from the field behind the name.
	startTimeField = 19
)

// Self returns the identity of this process.
func Self() (Identity, error) { return Identify(os.Getpid()) }

// Identify returns the identity of the process that has a number now.
func Identify(pid int) (Identity, error) {
	i, err := surroundings()
	if err != nil {
		return Identity{}, err
	}
	i.PID = pid
	i.StartTicks, err = startTicks(pid)
	return i, err
}

// surroundings returns what the identities of all processes that can be seen from here share.
func surroundings() (Identity, error) {
	boot, err := os.ReadFile(bootFile)
	if err != nil {
		return Identity{}, fmt.Errorf("read the kernel's boot: %w", err)
	}
	namespace, err := os.Readlink(pidNamespaceFile)
	if err != nil {
		return Identity{}, fmt.Errorf("read the namespace of processes: %w", err)
	}
	return Identity{Boot: strings.TrimSpace(string(boot)), PIDNamespace: namespace}, nil
}

// startTicks returns when a process began.
func startTicks(pid int) (int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read the start time of process %d: %w", pid, err)
	}
	// The name, in parentheses, may contain any character.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= startTimeField {
		return 0, fmt.Errorf("read the start time of process %d: %d fields", pid, len(fields))
	}
	return strconv.ParseInt(fields[startTimeField], 10, 64)
}

// Process watches one process. It is safe for concurrent use.
type Process struct {
	mu    sync.Mutex
	fd    int // -1: closed
	ended bool
}

// Open returns a Process for an identity that the process itself has stated. It returns
// ErrUnknownProcess if no such process can be seen from here, or its parent knows already that it has ended.
func Open(i Identity) (*Process, error) {
	here, err := surroundings()
	if err != nil {
		return nil, err
	}
	if i.Boot != here.Boot || i.PIDNamespace != here.PIDNamespace {
		return nil, ErrUnknownProcess{i, "another VM or namespace"}
	}
	// The number may belong to another process by now. The start time is read after the descriptor
	// was opened: if it matches, the number has belonged to the stated process all the while.
	fd, err := unix.PidfdOpen(i.PID, 0)
	if err != nil {
		return nil, ErrUnknownProcess{i, err.Error()}
	}
	ticks, err := startTicks(i.PID)
	if err != nil || ticks != i.StartTicks {
		unix.Close(fd)
		return nil, ErrUnknownProcess{i, "no process of this number and start time"}
	}
	return &Process{fd: fd}, nil
}

// Ended reports whether the process has certainly ended, with all its threads.
func (p *Process) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.fd < 0 {
		return p.ended
	}
	fds := []unix.PollFd{{Fd: int32(p.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	p.ended = err == nil && n == 1 && fds[0].Revents&unix.POLLIN != 0
	return p.ended
}

// Close releases the process. Ended keeps its last answer.
func (p *Process) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fd >= 0 {
		unix.Close(p.fd)
		p.fd = -1
	}
}
