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

// threadPollInterval is the time between two reads of a process's thread list.
const threadPollInterval = time.Millisecond

// waitStopped waits until all threads of a process that was sent SIGSTOP are
// stopped. Sending the signal is not enough: one thread handles it and notifies the
// others, and each thread continues, and may answer requests, until it is scheduled
// and handles the notification.
func waitStopped(pid int, done <-chan struct{}, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	var before []string
	for {
		select {
		case <-done:
			return errors.New("the process has ended")
		default:
		}
		threads, running, err := readThreads(pid)
		if err != nil {
			return err
		}
		// A thread that was not stopped yet may have started another that this read
		// missed; a second read with the same threads rules that out.
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
		time.Sleep(threadPollInterval)
	}
}

// readThreads returns the ids of the threads of a process, and the id and state of
// those that are not stopped.
func readThreads(pid int) (threads, running []string, err error) {
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

// threadState returns the state letter, which follows the thread's name in a stat
// file. The name is in parentheses and may itself contain parentheses.
func threadState(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return "ended"
	}
	text := string(data)
	state, _, _ := strings.Cut(strings.TrimPrefix(text[strings.LastIndexByte(text, ')')+1:], " "), " ")
	return state
}
