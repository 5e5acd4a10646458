package logs

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	buffer  bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.buffer.Write(b)
}

func TestAsyncWriterNeverBlocksAndCountsDrops(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(target, 4)
	started := time.Now()
	for range 1000 {
		_, err := writer.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(writer.Dropped()).To(gomega.BeNumerically(">=", 995))
	writer.Close()
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 10*closeTimeout))
	close(target.release)
	<-writer.done
	g.Expect(target.buffer.String()).To(gomega.ContainSubstring("Lines were dropped."))
}

func TestLimiterReportsSuppressedLines(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := NewLimiter(2)
	now := time.Unix(0, 0)
	allowed := 0
	for range 10 {
		if _, ok := limiter.Allow(now); ok {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.Equal(2))
	suppressed, ok := limiter.Allow(now.Add(time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(suppressed).To(gomega.Equal(8))
}
