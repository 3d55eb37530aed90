package zone

// ID identifies an availability zone, for instance "scot-central-a".
type ID string

// AvailabilityZone is a failure domain with entry VMs and backend servers. If Out
// is set, the zone gets no new requests; requests in flight finish.
type AvailabilityZone struct {
	ID     ID     `json:"id" toml:"id"`
	Region string `json:"region" toml:"region"`
	Out    bool   `json:"out,omitempty" toml:"out"`
}
