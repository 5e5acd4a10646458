package ticket

// Names that callers, agents and backend servers use in HTTP.
const (
	// DeadlineHeader carries the milliseconds that are left for a request.
	DeadlineHeader = "Request-Deadline-Ms"
	// IssuePath is where a caller gets a ticket with GET.
	IssuePath = "/.well-known/idempotency-ticket"
	// OutcomeHeader carries an Outcome in answers.
	OutcomeHeader = "Request-Outcome"
	// ReasonHeader carries why a request was refused.
	ReasonHeader = "Outcome-Reason"
	// TicketHeader carries a ticket; its name must not be one for which HTTP clients repeat requests by themselves.
	TicketHeader = "Request-Ticket"
)
