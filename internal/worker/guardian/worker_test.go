package guardian

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// Guards against a start that is given up and carried out all the same: only a connection that was never
// opened shows that nothing was sent. An open one reports a refusal too, once a filter rejects its packets.
func TestOnlyRefusedConnectionsShowThatNothingWasSent(t *testing.T) {
	refused := os.NewSyscallError("connect", syscall.ECONNREFUSED)
	for _, tt := range []struct {
		name        string
		err         error
		unreachable bool
	}{
		{"connection refused", &net.OpError{Op: "dial", Net: "tcp", Err: refused}, true},
		{"open connection refused", &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNREFUSED)}, false},
		{"write refused", &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNREFUSED)}, false},
		{"connection reset", &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, false},
		{"no answer", errNoAnswer, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := CallError(tt.err)
			if IsErrWorkerUnreachable(err) != tt.unreachable || !errors.Is(err, tt.err) {
				t.Errorf("error %v", err)
			}
		})
	}
}
