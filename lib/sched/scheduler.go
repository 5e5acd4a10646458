package sched

// Class is a priority class among the packets of one service; lower values go first.
type Class int

const (
	// ClassEstablished is the class of packets of established flows.
	ClassEstablished Class = iota
	// ClassOpening is the class of packets that open new flows.
	ClassOpening

	classCount
)

// Config holds the limits of a Scheduler.
type Config struct {
	Depth   int // maximum number of queued items per service and class
	Quantum int // number of bytes that a service may send per round
	Total   int // maximum number of queued items of all services
}

type queuedItem[T any] struct {
	size  int // bytes
	value T
}

// serviceQueues holds the queues of one service.
type serviceQueues[T any] struct {
	active  bool // the service is in activeServices
	byClass [classCount][]queuedItem[T]
	deficit int // number of bytes that the service may still send in this round
}

// Scheduler serves the bounded queues of services by deficit round robin.
type Scheduler[T any] struct {
	activeServices []uint16 // services in round robin order, the next one first
	config         Config
	queued         int // number of queued items of all services
	services       map[uint16]*serviceQueues[T]
}

// NewScheduler returns an empty scheduler.
func NewScheduler[T any](config Config) *Scheduler[T] {
	return &Scheduler[T]{config: config, services: map[uint16]*serviceQueues[T]{}}
}

// Push queues an item with its size in bytes and reports false when the limit of its queue or of all queues is reached.
func (s *Scheduler[T]) Push(service uint16, class Class, size int, value T) bool {
	queues := s.services[service]
	if queues == nil {
		queues = &serviceQueues[T]{}
		s.services[service] = queues
	}
	if s.queued >= s.config.Total || len(queues.byClass[class]) >= s.config.Depth {
		return false
	}
	queues.byClass[class] = append(queues.byClass[class], queuedItem[T]{size: size, value: value})
	s.queued++
	if !queues.active {
		queues.active = true
		queues.deficit = s.config.Quantum
		s.activeServices = append(s.activeServices, service)
	}
	return true
}

// Pop returns the next item and reports false when all queues are empty.
func (s *Scheduler[T]) Pop() (T, bool) {
	for len(s.activeServices) > 0 {
		queues := s.services[s.activeServices[0]]
		next := queues.peek()
		if next == nil {
			queues.active = false
			s.activeServices = s.activeServices[1:]
			continue
		}
		if next.size > queues.deficit {
			queues.deficit += s.config.Quantum
			s.activeServices = append(s.activeServices[1:], s.activeServices[0])
			continue
		}
		queues.deficit -= next.size
		s.queued--
		return queues.pop(), true
	}
	var zero T
	return zero, false
}

// Len returns the number of queued items.
func (s *Scheduler[T]) Len() int { return s.queued }

func (q *serviceQueues[T]) peek() *queuedItem[T] {
	for class := range q.byClass {
		if len(q.byClass[class]) > 0 {
			return &q.byClass[class][0]
		}
	}
	return nil
}

func (q *serviceQueues[T]) pop() T {
	for class := range q.byClass {
		queue := q.byClass[class]
		if len(queue) == 0 {
			continue
		}
		value := queue[0].value
		queue[0] = queuedItem[T]{}
		q.byClass[class] = queue[1:]
		return value
	}
	var zero T
	return zero
}
