package outlier

// Observer counts the decisions of detectors and of the quarantine. Its methods
// are called under a shard's lock, so they must not block.
type Observer interface {
	EjectionGranted()
	// EjectionBlocked says that the floor kept an outlier in service.
	EjectionBlocked()
	// RequestQuarantined says that a request is rejected from now on.
	RequestQuarantined()
	// HomeRoleTakenOver says that this VM became the home of a service.
	HomeRoleTakenOver()
}

// ignore is the Observer of parts that got none.
type ignore struct{}

func (ignore) EjectionGranted()    {}
func (ignore) EjectionBlocked()    {}
func (ignore) RequestQuarantined() {}
func (ignore) HomeRoleTakenOver()  {}
