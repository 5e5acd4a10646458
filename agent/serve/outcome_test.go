package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

const (
	firstAddress  = "127.0.0.1:19701"
	secondAddress = "127.0.0.1:19702"
)

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestBookingWithoutTicketNamesTheIssuePath(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	answer := a.book(context.Background(), "", "a")
	g.Expect(answer.Code).To(gomega.Equal(http.StatusPreconditionRequired))
	g.Expect(outcomeOf(answer)).To(gomega.Equal("notRun"))
	g.Expect(answer.Header().Get(ticket.ReasonHeader)).To(gomega.ContainSubstring(ticket.IssuePath))
	g.Expect(a.backend.requestsSeen()).To(gomega.BeZero())
}

func TestShedBookingIsRetriedAndRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	first := true
	a.backend.setHandler(func(w http.ResponseWriter, request *http.Request) {
		if first {
			first = false
			a.backend.shed(w, request)
			return
		}
		a.backend.run(w, request)
	})
	answer := a.book(context.Background(), a.newTicket(t), "a")
	g.Expect(outcomeOf(answer)).To(gomega.Equal("ran"))
	g.Expect(a.backend.runsOf("a")).To(gomega.Equal(1))
}

func TestUnreachableBackendServerMeansNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	a.backend.server.Close()
	text := a.newTicket(t)
	g.Expect(outcomeOf(a.book(context.Background(), text, "a"))).To(gomega.Equal("notRun"))
	g.Expect(outcomeOf(a.book(context.Background(), text, "a"))).To(gomega.Equal("notRun"))
}

func TestLostAnswerIsUnknownAndNotRetried(t *testing.T) {
	cases := map[string]func(*fakeBackend) http.HandlerFunc{
		"aborted after the run": func(b *fakeBackend) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				b.mu.Lock()
				b.runs[string(body)]++
				b.mu.Unlock()
				abortConnection(w, r)
			}
		},
		"aborted before the run": func(*fakeBackend) http.HandlerFunc { return abortConnection },
		"aborted within the answer": func(b *fakeBackend) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "1000")
				b.run(w, r)
				abortConnection(w, r)
			}
		},
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
			g.Expect(outcomeOf(a.book(context.Background(), a.newTicket(t), "warm"))).To(gomega.Equal("ran"))
			a.backend.setHandler(handler(a.backend))
			text := a.newTicket(t)
			for range 3 {
				g.Expect(outcomeOf(a.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
			}
			a.backend.setHandler(a.backend.run)
			g.Expect(outcomeOf(a.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
			g.Expect(a.backend.runsOf("a")).To(gomega.BeNumerically("<=", 1))
		})
	}
}

// net/http retries a request with one of these headers on its own when a connection fails, so that it could run twice.
func TestIdempotencyHeadersAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	g.Expect(outcomeOf(a.book(context.Background(), a.newTicket(t), "warm"))).To(gomega.Equal("ran"))
	before := a.backend.requestsSeen()
	a.backend.setHandler(abortConnection)
	header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	call := Call{Header: header, Method: http.MethodPost, Path: "/bookings"}
	answer := a.executor.Execute(context.Background(), a.newTicket(t), call)
	g.Expect(answer.Outcome).To(gomega.Equal(ticket.Unknown))
	g.Expect(a.backend.requestsSeen() - before).To(gomega.Equal(1))
}

func TestRepeatGetsTheStoredAnswerFromAnyAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	backend := newFakeBackend(t)
	issuer := newTestAgent(t, backend, firstAddress, 1)
	other := newTestAgent(t, newFakeBackend(t), secondAddress, 2)
	text := issuer.newTicket(t)
	for _, agent := range []*testAgent{other, issuer, other, issuer} {
		answer := agent.book(context.Background(), text, "a")
		g.Expect(outcomeOf(answer)).To(gomega.Equal("ran"))
		g.Expect(answer.Body.String()).To(gomega.Equal("booked a"))
	}
	g.Expect(backend.runsOf("a")).To(gomega.Equal(1))
	g.Expect(other.backend.requestsSeen()).To(gomega.BeZero())
}

// A ticket's request must not run at another agent, nor at a new process with the issuer's address, since neither has a
// record of whether the issuer ran it.
func TestUnreachableOrRestartedIssuerMeansUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	issuer := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	other := newTestAgent(t, newFakeBackend(t), secondAddress, 2)
	text := issuer.newTicket(t)
	issuer.server.Close()
	g.Expect(outcomeOf(other.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
	restarted := newTestAgent(t, newFakeBackend(t), firstAddress, 3)
	g.Expect(outcomeOf(other.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
	g.Expect(outcomeOf(restarted.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
	g.Expect(other.backend.requestsSeen() + restarted.backend.requestsSeen()).To(gomega.BeZero())
}

func TestMutatingRequestContinuesAfterCallerCancels(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	started := make(chan struct{})
	a.backend.setHandler(func(w http.ResponseWriter, request *http.Request) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		a.backend.run(w, request)
	})
	text := a.newTicket(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { a.book(ctx, text, "a") })
	<-started
	cancel()
	answer := a.book(context.Background(), text, "a")
	wait.Wait()
	g.Expect(outcomeOf(answer)).To(gomega.Equal("ran"))
	g.Expect(a.backend.runsOf("a")).To(gomega.Equal(1))
}

func TestCancelledReadIsCancelledAtTheBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	started, cancelled := make(chan struct{}), make(chan struct{})
	a.backend.setHandler(func(_ http.ResponseWriter, request *http.Request) {
		close(started)
		<-request.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { a.do(ctx, http.MethodGet, "/documents/a", "", "") })
	<-started
	cancel()
	wait.Wait()
	g.Eventually(cancelled, 10*time.Second).Should(gomega.BeClosed())
}

func TestDeadlineIsSentToTheBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	left := make(chan string, 1)
	a.backend.setHandler(func(_ http.ResponseWriter, request *http.Request) { left <- request.Header.Get(ticket.DeadlineHeader) })
	a.do(context.Background(), http.MethodGet, "/documents/a", "", "")
	value, err := strconv.Atoi(<-left)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(value).To(gomega.BeNumerically("<=", 500))
}

func TestTimeoutDoesNotTruncateResponseBody(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	a.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 8 {
			_, _ = fmt.Fprintf(w, "%d", i)
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	})
	answer := a.do(context.Background(), http.MethodGet, "/documents/a", "", "")
	g.Expect(answer.Body.String()).To(gomega.Equal("01234567"))
}

func TestConcurrentRequestsGetTheirOwnAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	a.backend.setHandler(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		time.Sleep(time.Duration(len(body)%3) * 5 * time.Millisecond)
		_, _ = io.WriteString(w, "booked "+string(body))
	})
	answers := make([]string, 60)
	outcomes := make([]string, 60)
	var wait sync.WaitGroup
	for i := range answers {
		text := a.newTicket(t)
		wait.Go(func() {
			answer := a.book(context.Background(), text, fmt.Sprint(i*7))
			answers[i], outcomes[i] = answer.Body.String(), outcomeOf(answer)
		})
	}
	wait.Wait()
	for i := range answers {
		g.Expect(outcomes[i]).To(gomega.Equal("ran"))
		g.Expect(answers[i]).To(gomega.Equal(fmt.Sprintf("booked %d", i*7)))
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	a.backend.setHandler(a.backend.shed)
	const requests = 40
	for i := range requests {
		answer := a.book(context.Background(), a.newTicket(t), fmt.Sprint(i))
		g.Expect(outcomeOf(answer)).To(gomega.Equal("notRun"))
	}
	g.Expect(a.backend.requestsSeen()).To(gomega.BeNumerically("<=", requests+retryBurst+requests*retryPercent/100))
}

func TestQueuedBookingCancelledByCallerNeverRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	release := make(chan struct{})
	a.backend.setHandler(func(w http.ResponseWriter, request *http.Request) {
		<-release
		a.backend.run(w, request)
	})
	var wait sync.WaitGroup
	for i := range testService().Slots {
		text := a.newTicket(t)
		wait.Go(func() { a.book(context.Background(), text, fmt.Sprint(i)) })
	}
	admitted := func() int { return a.slots.runningCount() + a.slots.Usage(0).Waiting }
	g.Eventually(admitted, 10*time.Second).Should(gomega.Equal(testService().Slots))
	waiting := a.slots.Usage(0).Waiting
	text := a.newTicket(t)
	ctx, cancel := context.WithCancel(context.Background())
	var cancelledOutcome string
	wait.Go(func() { cancelledOutcome = outcomeOf(a.book(ctx, text, "queued")) })
	g.Eventually(func() int { return a.slots.Usage(0).Waiting }, 10*time.Second).Should(gomega.Equal(waiting + 1))
	cancel()
	g.Eventually(func() string { return outcomeOf(a.book(context.Background(), text, "queued")) }, 10*time.Second).
		Should(gomega.Equal("notRun"))
	close(release)
	wait.Wait()
	g.Expect(cancelledOutcome).To(gomega.Equal("notRun"))
	g.Expect(a.backend.runsOf("queued")).To(gomega.BeZero())
}

func TestRepeatOfLargeAnswerReportsItRanWithoutBody(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAgent(t, newFakeBackend(t), firstAddress, 1)
	text, booking := a.newTicket(t), strings.Repeat("x", 2*maxStoredBody)
	first := a.book(context.Background(), text, booking)
	g.Expect(first.Body.String()).To(gomega.Equal("booked " + booking))
	again := a.book(context.Background(), text, booking)
	g.Expect(outcomeOf(again)).To(gomega.Equal("ran"))
	g.Expect(again.Header().Get(ticket.ReasonHeader)).To(gomega.Equal("answerNotKept"))
	g.Expect(a.backend.runsOf(booking)).To(gomega.Equal(1))
}
