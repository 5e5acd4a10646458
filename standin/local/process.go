package local

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Arguments   []string
	Environment []string // variables as NAME=value, added to those of the current process
	LogPath     string   // path of the file that receives stdout and stderr
	Name        string
	ProgramPath string // path of the executable
}

// Process runs a program as a child process, repeatedly if it is restarted.
type Process struct {
	command *exec.Cmd
	config  ProcessConfig
	exited  chan struct{}
}

// NewProcess returns a process that is not started yet.
func NewProcess(config ProcessConfig) *Process { return &Process{config: config} }

// Start starts the program in its own process group and appends its output to the log file.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.config.LogPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the log of "+p.config.Name+" can't be opened", "choose a writable directory")
	}
	p.command = exec.Command(p.config.ProgramPath, p.config.Arguments...)
	p.command.Env = append(os.Environ(), p.config.Environment...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.exited = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return fault.Wrap(err, fault.Invalid, filepath.Base(p.config.ProgramPath)+" can't be started", "build it with make build")
	}
	go p.runWait(log)
	return nil
}

// runWait waits until the program exits.
func (p *Process) runWait(log *os.File) {
	_ = p.command.Wait()
	_ = log.Close()
	close(p.exited)
}

// Signal sends a signal to the program unless it has exited.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// Kill kills the program, even when it is suspended, and waits up to the limit for its exit.
func (p *Process) Kill(limit time.Duration) {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.WaitExit(limit)
}

// WaitExit waits for the program's exit and reports whether it came within the limit.
func (p *Process) WaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}
