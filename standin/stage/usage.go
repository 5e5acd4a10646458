package stage

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const pageSize = 4096 // bytes

// A Usage is what a process has used so far.
type Usage struct {
	CPU    time.Duration
	Memory int // resident bytes
}

// Usage returns what a process of the deployment has used, or zeros when it has ended.
func (l *Stage) Usage(name string) Usage {
	pid := l.find(name).command.Process.Pid
	return Usage{CPU: processorTime(pid), Memory: residentBytes(pid)}
}

func residentBytes(pid int) int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	columns := strings.Fields(string(b))
	pages, _ := strconv.Atoi(columns[1])
	return pages * pageSize
}
