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

// Commands of hollow processes, beside that of the rig.
const (
	NodesCommand      = "scale-nodes"
	SchedulersCommand = "scale-schedulers"
)

const (
	longestAnswer = 4 << 20
	endWithin     = 5 * time.Second
)

// child is a hollow process.
type child struct {
	cmd *exec.Cmd

	mu      sync.Mutex // of one order and its answer
	in      io.WriteCloser
	answers *bufio.Scanner
}

// startChild starts a hollow process with its plan. It does not outlive this one.
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
	c.answers.Buffer(nil, longestAnswer)
	if err := json.NewEncoder(in).Encode(plan); err != nil {
		return nil, errors.Join(err, c.end())
	}
	return c, nil
}

// order has the process do something, and waits for its answer.
func (c *child) order(o hollow.Order) (reply hollow.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.in).Encode(o); err != nil {
		return reply, fmt.Errorf("%s: %w", o.Do, err)
	}
	if !c.answers.Scan() {
		return reply, errors.Join(fmt.Errorf("%s: no answer", o.Do), c.answers.Err())
	}
	if err := json.Unmarshal(c.answers.Bytes(), &reply); err != nil {
		return reply, fmt.Errorf("%s: %w", o.Do, err)
	}
	if reply.Fault != "" {
		return reply, fmt.Errorf("%s %s: %s", o.Do, o.Name, reply.Fault)
	}
	return reply, nil
}

// end closes the process's input, by which it ends, and waits; one that stays is killed.
func (c *child) end() error {
	c.in.Close()
	limit := time.AfterFunc(endWithin, func() { _ = c.cmd.Process.Kill() })
	defer limit.Stop()
	return c.cmd.Wait()
}
