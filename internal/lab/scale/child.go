package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"ravenpond/internal/lab/scale/hollow"
)

// Subcommands of `lab` that run hollow processes.
const (
	NodesCommand      = "scale-nodes"
	SchedulersCommand = "scale-schedulers"
)

const (
	maxReplyBytes = 4 << 20 // bytes, of a reply or a log line
	stopTimeout   = 5 * time.Second
)

// child is a hollow process that the rig has started.
type child struct {
	cmd *exec.Cmd

	mu      sync.Mutex // serializes orders: it is held from an order to its reply
	in      io.WriteCloser
	answers *bufio.Scanner
}

// startChild starts a hollow process with its plan. The kernel kills it when this process ends.
func startChild(program []string, command string, plan any, log *os.File) (*child, error) {
	args := append(slices.Clone(program[1:]), "lab", command)
	cmd := exec.Command(program[0], args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", command, err)
	}
	c := &child{cmd: cmd, in: in, answers: bufio.NewScanner(out)}
	c.answers.Buffer(nil, maxReplyBytes)
	if err := json.NewEncoder(in).Encode(plan); err != nil {
		return nil, errors.Join(err, c.stop())
	}
	return c, nil
}

// order sends an order to the process and waits for the reply.
func (c *child) order(o hollow.Order) (reply hollow.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.in).Encode(o); err != nil {
		return reply, fmt.Errorf("%s: %w", o.Do, err)
	}
	if !c.answers.Scan() {
		return reply, errors.Join(fmt.Errorf("%s: hollow process ended without a reply", o.Do), c.answers.Err())
	}
	if err := json.Unmarshal(c.answers.Bytes(), &reply); err != nil {
		return reply, fmt.Errorf("%s: %w", o.Do, err)
	}
	if reply.Fault != "" {
		return reply, fmt.Errorf("%s %s: %s", o.Do, o.Name, reply.Fault)
	}
	return reply, nil
}

// stop closes the process's input, which makes it exit, and waits for it. It kills the process if that takes longer than stopTimeout.
func (c *child) stop() error {
	c.in.Close()
	limit := time.AfterFunc(stopTimeout, func() { _ = c.cmd.Process.Kill() })
	defer limit.Stop()
	return c.cmd.Wait()
}
