package stage

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// A ProcessConfig says how a program is run.
type ProcessConfig struct {
	Arguments   []string
	Environment []string // besides this process's own, as NAME=value
	Log         string   // path of the file that gets its output
	Name        string
	Program     string // path
}

// A Process is one program of the deployment.
type Process struct {
	command *exec.Cmd
	config  ProcessConfig
	ended   chan struct{}
}

// NewProcess returns a process that does not run yet.
func NewProcess(config ProcessConfig) *Process { return &Process{config: config} }

// Start runs the program with its output in the log file.
func (p *Process) Start() error {
	file, err := os.OpenFile(p.config.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the log of "+p.config.Name+" can't be opened", "choose a writable folder")
	}
	p.command = exec.Command(p.config.Program, p.config.Arguments...)
	p.command.Env = append(os.Environ(), p.config.Environment...)
	p.command.Stdout = file
	p.command.Stderr = file
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.ended = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return fault.Wrap(err, fault.Invalid, filepath.Base(p.config.Program)+" can't be started", "build it with make build")
	}
	go p.run(file)
	return nil
}

// run waits for the program's end.
func (p *Process) run(file *os.File) {
	_ = p.command.Wait()
	_ = file.Close()
	close(p.ended)
}

// Signal sends a signal to the program, if it still runs.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// Kill ends the program, also one that is stopped, and waits up to the limit.
func (p *Process) Kill(limit time.Duration) {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.WaitEnd(limit)
}

// WaitEnd reports whether the program ends within the limit.
func (p *Process) WaitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}
