package tuple

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestSharedReadServesManyRequestsWithFewReads(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const requests = 430
	var reads, started atomic.Int64
	shared := newSharedRead(ctx, time.Millisecond, func(context.Context) (int64, error) {
		for started.Load() < requests {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // the last requests wait by then
		return reads.Add(1), nil
	})
	var group sync.WaitGroup
	for range requests {
		group.Add(1)
		go func() {
			defer group.Done()
			before := reads.Load()
			started.Add(1)
			read, err := shared.get(ctx)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(read).To(gomega.BeNumerically(">", before), "the read began before the request")
		}()
	}
	group.Wait()
	g.Expect(reads.Load()).To(gomega.BeNumerically("<=", 4))
}

func TestSharedReadEndsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	shared := newSharedRead(ctx, time.Minute, func(ctx context.Context) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	})
	short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
	defer stop()
	_, err := shared.get(short)
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	cancel()
	_, err = shared.get(context.Background())
	g.Expect(err).To(gomega.MatchError(context.Canceled))
}
