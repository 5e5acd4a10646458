package stage

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// A ServicePlan is one service of a deployment.
type ServicePlan struct {
	Backends int
	Kinds    []config.Kind
	Name     string
	Slots    int
	Typical  time.Duration
}

// A Deployment is what one operator runs.
type Deployment struct {
	Balancers int
	Name      string
	Region    string
	Services  []ServicePlan
	Zones     []string
}

const connections = 2000

// FindDeployment returns a deployment by name, or an Invalid fault.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "barfani":
		return barfani(), nil
	case "huber":
		return huber(), nil
	default:
		return Deployment{}, fault.New(fault.Invalid, "there is no deployment "+name, "use huber or barfani")
	}
}

func huber() Deployment {
	return Deployment{
		Balancers: 3,
		Name:      "huber",
		Region:    "oberbayern",
		Services: []ServicePlan{
			{Backends: 7, Kinds: bookingKinds(), Name: "termine", Slots: 7, Typical: 20 * time.Millisecond},
			{Backends: 3, Kinds: documentKinds(), Name: "nachweise", Slots: 7, Typical: 20 * time.Millisecond},
		},
		Zones: []string{"rosenheim", "traunstein", "weilheim"},
	}
}

func barfani() Deployment {
	return Deployment{
		Balancers: 3,
		Name:      "barfani",
		Region:    "sindh",
		Services: []ServicePlan{
			{Backends: 7, Kinds: bookingKinds(), Name: "class-desk", Slots: 2, Typical: 20 * time.Millisecond},
			{Backends: 3, Kinds: documentKinds(), Name: "guide-lib", Slots: 2, Typical: 20 * time.Millisecond},
		},
		Zones: []string{"hyderabad", "larkana", "sukkur"},
	}
}

func bookingKinds() []config.Kind {
	return []config.Kind{
		{Class: config.ClassFeed, Method: "GET", Name: "board", PathPrefix: "/feed"},
		{
			Class: config.ClassMutating, Method: "POST", Name: "booking", PathPrefix: "/bookings",
			QueueLimit: 50, Share: 50, Timeout: 5 * time.Second, Typical: 20 * time.Millisecond, Urgency: 3,
		},
		{
			Class: config.ClassRead, Method: "GET", Name: "slots", PathPrefix: "/slots",
			QueueLimit: 50, Share: 30, Timeout: 3 * time.Second, Typical: 20 * time.Millisecond, Urgency: 2,
		},
	}
}

func documentKinds() []config.Kind {
	return []config.Kind{
		{Class: config.ClassFeed, Method: "GET", Name: "board", PathPrefix: "/feed"},
		{
			Class: config.ClassRead, Method: "GET", Name: "document", PathPrefix: "/documents/",
			QueueLimit: 100, Share: 80, Timeout: 10 * time.Second, Typical: 30 * time.Millisecond, Urgency: 1,
		},
	}
}

func serviceOf(plan ServicePlan, id uint16, address netip.AddrPort) config.Service {
	return config.Service{
		Address:     address,
		Connections: connections,
		ID:          id,
		Kinds:       plan.Kinds,
		Name:        plan.Name,
		Slots:       plan.Slots,
	}
}
