package configstore

// handleHeadInForce handles a head that is not newer than the version in force.
func (f *Follower) handleHeadInForce(current *view, h head) error {
	if h.Version == current.index.Version() {
		digest, err := current.digest()
		if err == nil && !sameDigest(digest, h.Digest) && f.loggedMismatch.Swap(h.Version) != h.Version {
			f.log.WithField("version", h.Version).Error("The store has another configuration of the version in force; make a change to replace both.")
		}
		return err
	}
	f.log.WithField("head", h.Version).WithField("in_force", current.index.Version()).
		Warn("The store's version is lower than the one in force and is ignored.")
	return nil
}
