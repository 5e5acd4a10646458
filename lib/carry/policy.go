package carry

// A Policy selects how a director decides; the zero value is the one to use, the others are for comparison.
type Policy struct {
	OrderOnly     bool // a new flow goes to the first agent in its order, whatever the loads
	WithoutHints  bool // where flows are is not remembered
	WithoutProofs bool // a flow whose backend server has ended is left to time out
}
