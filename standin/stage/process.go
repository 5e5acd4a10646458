package stage

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// A Process is one program of the deployment.
type Process struct {
	arguments []string
	command   *exec.Cmd
	ended     chan struct{}
	log       string
	name      string
	program   string
}

// start runs the program with its output in the log file.
func (p *Process) start() error {
	file, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the log of "+p.name+" can't be opened", "choose a writable folder")
	}
	p.command = exec.Command(p.program, p.arguments...)
	p.command.Stdout = file
	p.command.Stderr = file
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.ended = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return fault.Wrap(err, fault.Invalid, filepath.Base(p.program)+" can't be started", "build it with make build")
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

func (p *Process) signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// waitEnd reports whether the program ends within the limit.
func (p *Process) waitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}
