package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

const (
	// busyFile is the environment variable that makes the test binary run as the
	// busy process; its value is the file in which the threads count.
	busyFile    = "BAMBOOSPREAD_TEST_BUSY_FILE"
	busyThreads = 32
	busyTime    = 5 * time.Millisecond
	pausedTime  = 20 * time.Millisecond
)

type busyCounts [busyThreads]atomic.Int64

func TestMain(m *testing.M) {
	if path := os.Getenv(busyFile); path != "" {
		countForever(path)
	}
	os.Exit(m.Run())
}

func countForever(path string) {
	counts, err := mapCounts(path)
	if err != nil {
		panic(err)
	}
	runtime.GOMAXPROCS(busyThreads + 1)
	for i := range counts {
		go func() {
			runtime.LockOSThread()
			for {
				counts[i].Add(1)
			}
		}()
	}
	select {}
}

// mapCounts maps the counters that the test shares with the busy process.
func mapCounts(path string) (*busyCounts, error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := syscall.Mmap(int(file.Fd()), 0, int(unsafe.Sizeof(busyCounts{})), syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	return (*busyCounts)(unsafe.Pointer(&data[0])), nil
}

func (c *busyCounts) load() []int64 {
	var all []int64
	for i := range c {
		all = append(all, c[i].Load())
	}
	return all
}

// startBusy starts a process with many busy threads and waits until all of them count.
func startBusy(t *testing.T) (*Process, *busyCounts) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "counts")
	if err := os.WriteFile(path, make([]byte, unsafe.Sizeof(busyCounts{})), 0o600); err != nil {
		t.Fatal(err)
	}
	counts, err := mapCounts(path)
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{Name: "busy", t: t, log: filepath.Join(t.TempDir(), "busy.log")}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), busyFile+"="+path)
	p.run(cmd)
	t.Cleanup(p.Kill)
	for deadline := time.Now().Add(readyLimit); slices.Contains(counts.load(), 0); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("some threads have not counted: %v; %s", counts.load(), p.logTail())
		}
	}
	return p, counts
}

// If Pause returned while a thread still runs, the paused process could still answer.
func TestPauseReturnsOnceAllThreadsAreStopped(t *testing.T) {
	p, counts := startBusy(t)
	for range 20 {
		p.Pause()
		before := counts.load()
		time.Sleep(pausedTime)
		after := counts.load()
		p.Resume()
		running := 0
		for i := range before {
			if after[i] != before[i] {
				running++
			}
		}
		if running > 0 {
			t.Fatalf("%d of %d threads ran after the pause", running, busyThreads)
		}
		time.Sleep(busyTime)
	}
}

// A pause that cannot take effect must return an error.
func TestPauseReportsRunningThreads(t *testing.T) {
	p, _ := startBusy(t)
	never := make(chan struct{})
	err := waitStopped(p.PID(), never, 20*time.Millisecond)
	if err == nil || !strings.Contains(err.Error(), "threads not stopped within 20ms") {
		t.Errorf("running process: %v", err)
	}
	p.Kill()
	err = waitStopped(p.PID(), p.signal(syscall.SIGSTOP), time.Second)
	if err == nil || err.Error() != "the process has ended" {
		t.Errorf("ended process: %v", err)
	}
}
