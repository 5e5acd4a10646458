package local

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// ServiceSpec describes one service of a deployment.
type ServiceSpec struct {
	Backends    int // number of backend servers
	Kinds       []config.Kind
	Name        string
	ServiceTime time.Duration // service time of a request without slowdown
	Slots       int           // concurrent requests per backend server
}

// Deployment describes the balancers and services of one organisation.
type Deployment struct {
	Balancers int // number of balancers
	Name      string
	Region    string
	Services  []ServiceSpec
	Zones     []string
}

const maxConnections = 2000 // per backend server

// FindDeployment returns the deployment of that name, or an Invalid fault.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "barfani":
		return barfaniDeployment(), nil
	case "huber":
		return huberDeployment(), nil
	default:
		return Deployment{}, fault.New(fault.Invalid, "there is no deployment "+name, "use huber or barfani")
	}
}

func huberDeployment() Deployment {
	return Deployment{
		Balancers: 3,
		Name:      "huber",
		Region:    "oberbayern",
		Services: []ServiceSpec{
			{Backends: 7, Kinds: bookingKinds(), Name: "termine", ServiceTime: 20 * time.Millisecond, Slots: 7},
			{Backends: 3, Kinds: documentKinds(), Name: "nachweise", ServiceTime: 20 * time.Millisecond, Slots: 7},
		},
		Zones: []string{"rosenheim", "traunstein", "weilheim"},
	}
}

func barfaniDeployment() Deployment {
	return Deployment{
		Balancers: 3,
		Name:      "barfani",
		Region:    "sindh",
		Services: []ServiceSpec{
			{Backends: 7, Kinds: bookingKinds(), Name: "class-desk", ServiceTime: 20 * time.Millisecond, Slots: 2},
			{Backends: 3, Kinds: documentKinds(), Name: "guide-lib", ServiceTime: 20 * time.Millisecond, Slots: 2},
		},
		Zones: []string{"hyderabad", "larkana", "sukkur"},
	}
}

func bookingKinds() []config.Kind {
	return []config.Kind{
		{Class: config.ClassFeed, Method: "GET", Name: "board", PathPrefix: "/feed"},
		{
			Class: config.ClassMutating, Method: "POST", Name: "booking", PathPrefix: "/bookings",
			QueueLimit: 50, Share: 50, Timeout: 5 * time.Second, TypicalDuration: 20 * time.Millisecond, Urgency: 3,
		},
		{
			Class: config.ClassRead, Method: "GET", Name: "slots", PathPrefix: "/slots",
			QueueLimit: 50, Share: 30, Timeout: 3 * time.Second, TypicalDuration: 20 * time.Millisecond, Urgency: 2,
		},
	}
}

func documentKinds() []config.Kind {
	return []config.Kind{
		{Class: config.ClassFeed, Method: "GET", Name: "board", PathPrefix: "/feed"},
		{
			Class: config.ClassRead, Method: "GET", Name: "document", PathPrefix: "/documents/",
			QueueLimit: 100, Share: 80, Timeout: 10 * time.Second, TypicalDuration: 30 * time.Millisecond, Urgency: 1,
		},
	}
}

func newService(spec ServiceSpec, id uint16, address netip.AddrPort) config.Service {
	return config.Service{
		Address:        address,
		ID:             id,
		Kinds:          spec.Kinds,
		MaxConnections: maxConnections,
		Name:           spec.Name,
		Slots:          spec.Slots,
	}
}
