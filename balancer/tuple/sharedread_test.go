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
	var reads atomic.Int64
	shared := newSharedRead(ctx, time.Millisecond, func(context.Context) (int64, error) {
		time.Sleep(20 * time.Millisecond)
		return reads.Add(1), nil
	})
	var group sync.WaitGroup
	for range 430 {
		group.Add(1)
		go func() {
			defer group.Done()
			before := reads.Load()
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
