package local

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const pageSize = 4096 // bytes

// Usage holds the resources that a process uses.
type Usage struct {
	CPU           time.Duration // user and system time since the start
	ResidentBytes int           // resident set size
}

// Usage returns the CPU time and memory of a process, or zeros when it has exited.
func (c *Cluster) Usage(name string) Usage {
	pid := c.process(name).command.Process.Pid
	return Usage{CPU: cpuTime(pid), ResidentBytes: residentBytes(pid)}
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
