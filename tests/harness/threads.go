package harness

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// threadLookPause is the time between two looks at the threads of a process.
const threadLookPause = time.Millisecond

// waitStopped waits until a process that was sent SIGSTOP is stopped as a whole.
// The signal only marks the process: one thread takes it and tells the others, and
// each runs on, and may answer, until it is scheduled and sees it.
func waitStopped(pid int, done <-chan struct{}, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	var before []string
	for {
		select {
		case <-done:
			return errors.New("the process has ended")
		default:
		}
		threads, running, err := lookAtThreads(pid)
		if err != nil {
			return err
		}
		// A thread that was not stopped yet may have started one that the look
		// missed; a second look that finds the same threads rules it out.
		if len(running) == 0 && slices.Equal(threads, before) {
			return nil
		}
		before = nil
		if len(running) == 0 {
			before = threads
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d threads not stopped within %s (id and state: %s)",
				len(running), len(threads), limit, strings.Join(running, ", "))
		}
		time.Sleep(threadLookPause)
	}
}

// lookAtThreads returns the ids of the threads of a process, and id and state of
// those that are not stopped.
func lookAtThreads(pid int) (threads, running []string, err error) {
	dir := fmt.Sprintf("/proc/%d/task", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, f := range files {
		threads = append(threads, f.Name())
		if state := threadState(filepath.Join(dir, f.Name(), "stat")); state != "T" {
			running = append(running, f.Name()+" "+state)
		}
	}
	return threads, running, nil
}

// threadState returns the letter that follows the name in a stat file. The name is
// in parentheses and may hold some.
func threadState(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return "ended"
	}
	text := string(data)
	state, _, _ := strings.Cut(strings.TrimPrefix(text[strings.LastIndexByte(text, ')')+1:], " "), " ")
	return state
}
