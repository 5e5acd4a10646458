package sched

// A Class orders the packets of one service.
type Class int

const (
	// Established packets go before new flows.
	Established Class = iota
	// Opening packets start new flows.
	Opening

	classCount
)

// A Config holds the limits of a Scheduler.
type Config struct {
	Depth   int // items that wait for one service and class
	Quantum int // bytes that a service may send per turn
	Total   int // items that wait for all services
}

type item[T any] struct {
	size  int
	value T
}

type lane[T any] struct {
	active  bool
	deficit int
	queues  [classCount][]item[T]
}

// A Scheduler serves services in deficit round robin, each with bounded queues.
type Scheduler[T any] struct {
	config Config
	lanes  map[uint16]*lane[T]
	length int
	order  []uint16 // services with waiting items
}

// NewScheduler returns an empty scheduler.
func NewScheduler[T any](config Config) *Scheduler[T] {
	return &Scheduler[T]{config: config, lanes: map[uint16]*lane[T]{}}
}

// Push adds an item of a size in bytes and reports false when its queue, or all queues together, are full.
func (s *Scheduler[T]) Push(service uint16, class Class, size int, value T) bool {
	l := s.lanes[service]
	if l == nil {
		l = &lane[T]{}
		s.lanes[service] = l
	}
	if s.length >= s.config.Total || len(l.queues[class]) >= s.config.Depth {
		return false
	}
	l.queues[class] = append(l.queues[class], item[T]{size: size, value: value})
	s.length++
	if !l.active {
		l.active = true
		l.deficit = s.config.Quantum
		s.order = append(s.order, service)
	}
	return true
}

// Pop returns the next item and reports false when nothing waits.
func (s *Scheduler[T]) Pop() (T, bool) {
	for len(s.order) > 0 {
		l := s.lanes[s.order[0]]
		next := l.head()
		if next == nil {
			l.active = false
			s.order = s.order[1:]
			continue
		}
		if next.size > l.deficit {
			l.deficit += s.config.Quantum
			s.order = append(s.order[1:], s.order[0])
			continue
		}
		l.deficit -= next.size
		s.length--
		return l.take(), true
	}
	var zero T
	return zero, false
}

// Len returns the number of items that wait.
func (s *Scheduler[T]) Len() int { return s.length }

func (l *lane[T]) head() *item[T] {
	for class := range l.queues {
		if len(l.queues[class]) > 0 {
			return &l.queues[class][0]
		}
	}
	return nil
}

func (l *lane[T]) take() T {
	for class := range l.queues {
		queue := l.queues[class]
		if len(queue) == 0 {
			continue
		}
		value := queue[0].value
		queue[0] = item[T]{}
		l.queues[class] = queue[1:]
		return value
	}
	var zero T
	return zero
}
