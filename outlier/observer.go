package outlier

// Observer counts the decisions of detectors and of the quarantine. Its methods
// are called while a shard's lock is held, so they must not block.
type Observer interface {
	EjectionGranted()
	// EjectionBlocked is called when the floor prevents the ejection of an outlier.
	EjectionBlocked()
	// RequestQuarantined is called when a request reaches the number of crashes
	// from which on it may be rejected.
	RequestQuarantined()
	// HomeRoleTakenOver is called when this VM has become the home of a service.
	HomeRoleTakenOver()
}

// noopObserver is the Observer that is used when none is set.
type noopObserver struct{}

func (noopObserver) EjectionGranted()    {}
func (noopObserver) EjectionBlocked()    {}
func (noopObserver) RequestQuarantined() {}
func (noopObserver) HomeRoleTakenOver()  {}
