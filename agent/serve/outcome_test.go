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

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestBookingWithoutTicketIsRefusedWithTheRemedy(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	answer := r.book(context.Background(), "", "a")
	g.Expect(answer.Code).To(gomega.Equal(http.StatusPreconditionRequired))
	g.Expect(outcomeOf(answer)).To(gomega.Equal("notRun"))
	g.Expect(answer.Header().Get(ticket.ReasonHeader)).To(gomega.ContainSubstring(ticket.IssuePath))
	g.Expect(r.backend.requests()).To(gomega.BeZero())
}

func TestShedBookingIsRetriedAndRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	first := true
	r.backend.set(func(w http.ResponseWriter, request *http.Request) {
		if first {
			first = false
			r.backend.shed(w, request)
			return
		}
		r.backend.run(w, request)
	})
	answer := r.book(context.Background(), r.ticket(t), "a")
	g.Expect(outcomeOf(answer)).To(gomega.Equal("ran"))
	g.Expect(r.backend.runsOf("a")).To(gomega.Equal(1))
}

func TestUnreachableBackendMeansNotRunForGood(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	r.backend.server.Close()
	text := r.ticket(t)
	g.Expect(outcomeOf(r.book(context.Background(), text, "a"))).To(gomega.Equal("notRun"))
	g.Expect(outcomeOf(r.book(context.Background(), text, "a"))).To(gomega.Equal("notRun"))
}

func TestLostAnswerMeansUnknownAndNeverASecondRun(t *testing.T) {
	cases := map[string]func(*fakeBackend) http.HandlerFunc{
		"after the run": func(b *fakeBackend) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				b.mu.Lock()
				b.runs[string(body)]++
				b.mu.Unlock()
				abort(w, r)
			}
		},
		"before the run": func(*fakeBackend) http.HandlerFunc { return abort },
		"in the answer": func(b *fakeBackend) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "1000")
				b.run(w, r)
				abort(w, r)
			}
		},
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t, newFakeBackend(t), firstAddress, 1)
			g.Expect(outcomeOf(r.book(context.Background(), r.ticket(t), "warm"))).To(gomega.Equal("ran"))
			r.backend.set(handler(r.backend))
			text := r.ticket(t)
			for range 3 {
				g.Expect(outcomeOf(r.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
			}
			r.backend.set(r.backend.run)
			g.Expect(outcomeOf(r.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
			g.Expect(r.backend.runsOf("a")).To(gomega.BeNumerically("<=", 1))
		})
	}
}

func TestHeadersThatMakeClientsRepeatAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	g.Expect(outcomeOf(r.book(context.Background(), r.ticket(t), "warm"))).To(gomega.Equal("ran"))
	before := r.backend.requests()
	r.backend.set(abort)
	header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	call := Call{Header: header, Method: http.MethodPost, Path: "/bookings"}
	answer := r.runs.Do(context.Background(), r.ticket(t), call)
	g.Expect(answer.Outcome).To(gomega.Equal(ticket.Unknown))
	g.Expect(r.backend.requests() - before).To(gomega.Equal(1))
}

func TestRepeatGetsTheStoredAnswerHereAndElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	backend := newFakeBackend(t)
	issuer := newRig(t, backend, firstAddress, 1)
	other := newRig(t, newFakeBackend(t), secondAddress, 2)
	text := issuer.ticket(t)
	for _, agent := range []*rig{other, issuer, other, issuer} {
		answer := agent.book(context.Background(), text, "a")
		g.Expect(outcomeOf(answer)).To(gomega.Equal("ran"))
		g.Expect(answer.Body.String()).To(gomega.Equal("booked a"))
	}
	g.Expect(backend.runsOf("a")).To(gomega.Equal(1))
	g.Expect(other.backend.requests()).To(gomega.BeZero())
}

func TestDeadIssuerMeansUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	issuer := newRig(t, newFakeBackend(t), firstAddress, 1)
	other := newRig(t, newFakeBackend(t), secondAddress, 2)
	text := issuer.ticket(t)
	issuer.server.Close()
	g.Expect(outcomeOf(other.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
	reborn := newRig(t, newFakeBackend(t), firstAddress, 3)
	g.Expect(outcomeOf(other.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
	g.Expect(outcomeOf(reborn.book(context.Background(), text, "a"))).To(gomega.Equal("unknown"))
	g.Expect(other.backend.requests() + reborn.backend.requests()).To(gomega.BeZero())
}

func TestRunGoesOnWhenTheCallerLeavesAndTheRepeatGetsItsAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	started := make(chan struct{})
	r.backend.set(func(w http.ResponseWriter, request *http.Request) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		r.backend.run(w, request)
	})
	text := r.ticket(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { r.book(ctx, text, "a") })
	<-started
	cancel()
	answer := r.book(context.Background(), text, "a")
	wait.Wait()
	g.Expect(outcomeOf(answer)).To(gomega.Equal("ran"))
	g.Expect(r.backend.runsOf("a")).To(gomega.Equal(1))
}

func TestCancellationOfAReadReachesTheBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	started, cancelled := make(chan struct{}), make(chan struct{})
	r.backend.set(func(_ http.ResponseWriter, request *http.Request) {
		close(started)
		<-request.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { r.do(ctx, http.MethodGet, "/documents/a", "", "") })
	<-started
	cancel()
	wait.Wait()
	g.Eventually(cancelled, 10*time.Second).Should(gomega.BeClosed())
}

func TestDeadlineReachesTheBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	left := make(chan string, 1)
	r.backend.set(func(_ http.ResponseWriter, request *http.Request) { left <- request.Header.Get(ticket.DeadlineHeader) })
	r.do(context.Background(), http.MethodGet, "/documents/a", "", "")
	value, err := strconv.Atoi(<-left)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(value).To(gomega.BeNumerically("<=", 500))
}

func TestTimeoutNeverCutsABodyInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	r.backend.set(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 8 {
			_, _ = fmt.Fprintf(w, "%d", i)
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	})
	answer := r.do(context.Background(), http.MethodGet, "/documents/a", "", "")
	g.Expect(answer.Body.String()).To(gomega.Equal("01234567"))
}

func TestCrossedAnswersBelongToTheirRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	r.backend.set(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		time.Sleep(time.Duration(len(body)%3) * 5 * time.Millisecond)
		_, _ = io.WriteString(w, "booked "+string(body))
	})
	answers := make([]string, 60)
	outcomes := make([]string, 60)
	var wait sync.WaitGroup
	for i := range answers {
		text := r.ticket(t)
		wait.Go(func() {
			answer := r.book(context.Background(), text, fmt.Sprint(i*7))
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
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	r.backend.set(r.backend.shed)
	const requests = 40
	for i := range requests {
		answer := r.book(context.Background(), r.ticket(t), fmt.Sprint(i))
		g.Expect(outcomeOf(answer)).To(gomega.Equal("notRun"))
	}
	g.Expect(r.backend.requests()).To(gomega.BeNumerically("<=", requests+retryBurst+requests*retryPerCent/100))
}

func TestQueuedBookingOfALeavingCallerIsNotRunForGood(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	release := make(chan struct{})
	r.backend.set(func(w http.ResponseWriter, request *http.Request) {
		<-release
		r.backend.run(w, request)
	})
	var wait sync.WaitGroup
	for i := range testService().Slots {
		text := r.ticket(t)
		wait.Go(func() { r.book(context.Background(), text, fmt.Sprint(i)) })
	}
	asked := func() int { return r.slots.gateRunning() + r.slots.Usage(0).Waiting }
	g.Eventually(asked, 10*time.Second).Should(gomega.Equal(testService().Slots))
	waiting := r.slots.Usage(0).Waiting
	text := r.ticket(t)
	ctx, cancel := context.WithCancel(context.Background())
	var left string
	wait.Go(func() { left = outcomeOf(r.book(ctx, text, "queued")) })
	g.Eventually(func() int { return r.slots.Usage(0).Waiting }, 10*time.Second).Should(gomega.Equal(waiting + 1))
	cancel()
	g.Eventually(func() string { return outcomeOf(r.book(context.Background(), text, "queued")) }, 10*time.Second).
		Should(gomega.Equal("notRun"))
	close(release)
	wait.Wait()
	g.Expect(left).To(gomega.Equal("notRun"))
	g.Expect(r.backend.runsOf("queued")).To(gomega.BeZero())
}

func TestRepeatOfALargeAnswerSaysThatItRan(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, newFakeBackend(t), firstAddress, 1)
	text, booking := r.ticket(t), strings.Repeat("x", 2*maxKept)
	first := r.book(context.Background(), text, booking)
	g.Expect(first.Body.String()).To(gomega.Equal("booked " + booking))
	again := r.book(context.Background(), text, booking)
	g.Expect(outcomeOf(again)).To(gomega.Equal("ran"))
	g.Expect(again.Header().Get(ticket.ReasonHeader)).To(gomega.Equal("answerNotKept"))
	g.Expect(r.backend.runsOf(booking)).To(gomega.Equal(1))
}
