package outlier

// Observer counts the decisions of detectors and of the quarantine. Its methods
// are called under a shard's lock, so they must not block.
type Observer interface {
	EjectionGranted()
	// EjectionBlocked says that the floor kept an outlier in service.
	EjectionBlocked()
	// QuarantineEntered says that a request is rejected from now on.
	QuarantineEntered()
	// HomeTakenOver says that this VM became the home of a service.
	HomeTakenOver()
}

// ignore is the Observer of parts that got none.
type ignore struct{}

func (ignore) EjectionGranted()   {}
func (ignore) EjectionBlocked()   {}
func (ignore) QuarantineEntered() {}
func (ignore) HomeTakenOver()     {}
