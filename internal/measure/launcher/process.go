package launcher

import (
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const stopTimeout = 20 * time.Second

// Process is a child process; signals are sent to its process ID only.
type Process struct {
	cmd   *exec.Cmd
	group sync.WaitGroup
	done  chan struct{}
	err   error
}

// startProcess starts the program with the arguments; its output goes to out.
func startProcess(out io.Writer, program string, args ...string) (*Process, error) {
	p := &Process{
		cmd:  exec.Command(program, args...),
		done: make(chan struct{}),
	}
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p.group.Go(func() {
		p.err = p.cmd.Wait()
		close(p.done)
	})
	return p, nil
}

// ID returns the process ID.
func (p *Process) ID() int {
	return p.cmd.Process.Pid
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill kills the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	p.group.Wait()
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() error {
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// Stop interrupts the process, waits until it has ended and returns its exit error; a process that has not ended after
// 20 s is killed, which is an error.
func (p *Process) Stop() error {
	if err := p.cmd.Process.Signal(os.Interrupt); err != nil {
		return nil
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return errors.New("process did not stop in time")
	}
}
