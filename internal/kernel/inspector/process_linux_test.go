package inspector

import (
	"errors"
	"os"
	"os/exec"
	"testing"
	"time"
)

const endLimit = 5 * time.Second

// startChild starts a process that ends with the end of its input.
func startChild(t *testing.T) (i Identity, end func()) {
	t.Helper()
	child := exec.Command("cat")
	input, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = child.Process.Kill(); _ = child.Wait() })
	if i, err = Identify(child.Process.Pid); err != nil {
		t.Fatal(err)
	}
	return i, func() { input.Close() }
}

// Guards against runs that are given up or kept wrongly: a process has ended once it has exited, also
// before its parent has waited for it, and not before.
func TestEnded(t *testing.T) {
	i, end := startChild(t)
	p, err := Open(i)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if p.Ended() {
		t.Error("a process that runs has ended")
	}
	end()
	for until := time.Now().Add(endLimit); !p.Ended(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("a process that has exited has not ended")
		}
	}
	p.Close()
	if !p.Ended() {
		t.Error("the end is forgotten")
	}
}

// Guards against an end that is taken for the end of another process: an identity must match in each part.
func TestOpenUnknownProcess(t *testing.T) {
	self, err := Self()
	if err != nil {
		t.Fatal(err)
	}
	if self.PID != os.Getpid() || self.Boot == "" || self.PIDNamespace == "" || self.StartTicks == 0 {
		t.Fatalf("identity %+v", self)
	}
	for _, tt := range []struct {
		name   string
		change func(i *Identity)
		known  bool
	}{
		{"this process", func(*Identity) {}, true},
		{"another VM", func(i *Identity) { i.Boot = "0" }, false},
		{"another namespace", func(i *Identity) { i.PIDNamespace = "pid:[1]" }, false},
		{"an earlier process of the number", func(i *Identity) { i.StartTicks-- }, false},
		{"no process", func(i *Identity) { i.PID = 1 << 30 }, false},
		{"not a number of a process", func(i *Identity) { i.PID = -1 }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			i := self
			tt.change(&i)
			p, err := Open(i)
			var unknown ErrUnknownProcess
			if known := err == nil; known != tt.known || !known && !errors.As(err, &unknown) {
				t.Errorf("known %t, %v", known, err)
			}
			if err == nil {
				p.Close()
			}
		})
	}
}
