package main

import (
	"errors"
	"os/exec"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// starter starts programs from a thread of its own, with which they end, and each on a
// single core, as on the platform's machines.
type starter struct {
	requests chan startRequest
}

type startRequest struct {
	cmd  *exec.Cmd
	core int
	done chan error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest)}
	go func() {
		runtime.LockOSThread() // Until the end of the program.
		// A write beyond a limit on files is to fail, as on a full disk, and no more.
		_ = unix.PthreadSigmask(unix.SIG_BLOCK, &unix.Sigset_t{Val: [16]uint64{1 << (unix.SIGXFSZ - 1)}}, nil)
		for r := range s.requests {
			r.done <- startOnCore(r.cmd, r.core)
		}
	}()
	return s
}

// start starts a program on one of the cores that this process may use, counted from zero.
func (s *starter) start(cmd *exec.Cmd, core int) error {
	done := make(chan error)
	s.requests <- startRequest{cmd, core, done}
	return <-done
}

func startOnCore(cmd *exec.Cmd, n int) error {
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	n %= all.Count()
	for cpu := 0; n >= 0; cpu++ {
		if !all.IsSet(cpu) {
			continue
		}
		if n--; n < 0 {
			one.Set(cpu)
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := cmd.Start()
	return errors.Join(err, unix.SchedSetaffinity(0, &all))
}
