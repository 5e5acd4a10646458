package ticket

// HTTP header names and paths shared by callers, agents and backend servers.
const (
	// DeadlineHeader carries the time left for a request, in milliseconds.
	DeadlineHeader = "Request-Deadline-Ms"
	// IssuePath is the path from which a caller gets a new ticket with GET.
	IssuePath = "/.well-known/idempotency-ticket"
	// OutcomeHeader carries an Outcome in responses.
	OutcomeHeader = "Request-Outcome"
	// ReasonHeader states why there is no answer of the backend server, for instance why the request was rejected.
	ReasonHeader = "Outcome-Reason"
	// TicketHeader carries a ticket. Its name must differ from those that make HTTP clients retry requests automatically.
	TicketHeader = "Request-Ticket"
)
