// Command standin2 starts the project's own daemons on loopback addresses, with stand-ins for the store, the routers,
// the targets and the consumers, and checks one rule of the users' pages.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRuntime ends a run that hangs.
const maxRuntime = 110 * time.Second

func main() {
	program := flag.String("program", "", "path of the daemons' program")
	scenario := flag.String("scenario", "stop", "stop: an agent is stopped and started again; restarts: the balancers and an agent are restarted")
	out := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	pause := flag.Duration("pause", 6*time.Second, "time between the end of a stopped agent and its next start")
	flag.Parse()
	record, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	code := run(record, *program, *scenario, *trouble, *pause)
	record.log("exit code %d", code)
	record.close()
	os.Exit(code)
}

func run(record *record, program, scenario string, trouble bool, pause time.Duration) int {
	c, err := newCluster(record, program)
	if err != nil {
		record.log("the case couldn't run: %v", err)
		return exitFailed
	}
	defer c.stop()
	done := make(chan int, 1)
	go func() {
		switch scenario {
		case "restarts":
			done <- restarts(c, trouble, pause)
		case "stop":
			done <- stopAgent(c, trouble, pause)
		default:
			record.log("unknown scenario %s", scenario)
			done <- exitFailed
		}
	}()
	select {
	case code := <-done:
		return code
	case <-time.After(maxRuntime):
		record.log("the case couldn't run: it took too long")
		return exitFailed
	}
}
