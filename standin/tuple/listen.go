package tuple

import (
	"errors"
	"syscall"
	"time"
)

const (
	// inUseTimeout is how long an address may stay in use after its socket was closed.
	inUseTimeout = 2 * time.Second
	inUsePause   = 5 * time.Millisecond
)

// listenWhenFree calls listen until its address is free. A child process that is being started holds copies of all sockets until it
// runs its program, so that an address may stay in use for a moment after its socket was closed here.
func listenWhenFree[T any](listen func() (T, error)) (T, error) {
	deadline := time.Now().Add(inUseTimeout)
	for {
		socket, err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return socket, err
		}
		time.Sleep(inUsePause)
	}
}
