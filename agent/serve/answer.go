package serve

import (
	"io"
	"net/http"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

// notRun returns the answer to a request that the backend server has certainly not run.
func notRun(status int, reason string) ticket.Answer {
	return ticket.Answer{Outcome: ticket.NotRun, Reason: reason, Status: status}
}

// unknown returns the answer to a request that the backend server may have run.
func unknown(reason string) ticket.Answer {
	return ticket.Answer{Outcome: ticket.Unknown, Reason: reason, Status: http.StatusBadGateway}
}

// answerForFault returns the answer to a request for which Backend.Send returned an error.
func answerForFault(err error) ticket.Answer {
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

// readAnswer reads the complete response to a mutating request.
func readAnswer(response *http.Response) ticket.Answer {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBody+1))
	if err != nil {
		return unknown("answerCut")
	}
	if len(body) > maxAnswerBody {
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

func writeNotRun(w http.ResponseWriter, status int, reason string) {
	writeAnswer(w, notRun(status, reason))
}
