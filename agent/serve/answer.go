package serve

import (
	"io"
	"net/http"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

func notRun(status int, reason string) ticket.Answer {
	return ticket.Answer{Outcome: ticket.NotRun, Reason: reason, Status: status}
}

func unknown(reason string) ticket.Answer {
	return ticket.Answer{Outcome: ticket.Unknown, Reason: reason, Status: http.StatusBadGateway}
}

// failed returns the answer to a request that brought no response.
func failed(err error) ticket.Answer {
	if fault.Is(err, fault.Missing) {
		return notRun(http.StatusServiceUnavailable, "backendServerAway")
	}
	return unknown("backendServerSilent")
}

func statusOf(reason admit.Reason) int {
	if reason == admit.ReasonQueueFull {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// readAnswer takes the whole response of a mutating request.
func readAnswer(response *http.Response) ticket.Answer {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return unknown("answerCut")
	}
	if len(body) > maxAnswer {
		return unknown("answerTooLarge")
	}
	return ticket.Answer{
		Body:    body,
		Outcome: ticket.Ran,
		Status:  response.StatusCode,
		Type:    response.Header.Get("Content-Type"),
	}
}

func writeAnswer(w http.ResponseWriter, answer ticket.Answer) {
	w.Header().Set(ticket.OutcomeHeader, answer.Outcome.String())
	if answer.Reason != "" {
		w.Header().Set(ticket.ReasonHeader, answer.Reason)
	}
	if answer.Type != "" {
		w.Header().Set("Content-Type", answer.Type)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func refuse(w http.ResponseWriter, status int, reason string) {
	writeAnswer(w, notRun(status, reason))
}
