package flows

// Policy disables parts of a director's decisions to compare them in measurements; production uses the zero value.
type Policy struct {
	WithoutHints  bool // don't remember which agent holds a flow
	WithoutLoads  bool // place a new flow on the first agent of its hash order, regardless of load
	WithoutProofs bool // let a flow whose backend server has ended time out instead of resetting it
}
