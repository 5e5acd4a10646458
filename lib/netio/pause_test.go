package netio

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestRetryStopsAfterSuccess(t *testing.T) {
	g := gomega.NewWithT(t)
	calls, failures := 0, 0
	Retry(context.Background(), func() error {
		calls++
		if calls < 3 {
			return errors.New("not yet")
		}
		return nil
	}, func(error) { failures++ })
	g.Expect(calls).To(gomega.Equal(3))
	g.Expect(failures).To(gomega.Equal(2))
}

func TestRetryStopsWhenItsContextEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	Retry(ctx, func() error { return errors.New("never") }, func(error) {})
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", time.Second))
}

func TestJitterIsBetweenHalfAndOneAndAHalfTimesThePause(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 1000 {
		g.Expect(Jitter(time.Second)).To(gomega.And(gomega.BeNumerically(">=", time.Second/2), gomega.BeNumerically("<=", 3*time.Second/2)))
	}
}
