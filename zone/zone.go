package zone

// ID names an availability zone, for instance "scot-central-a".
type ID string

// AvailabilityZone is a failure domain that holds entry VMs and backend
// servers. A zone that is out gets no new work; running work finishes.
type AvailabilityZone struct {
	ID     ID     `json:"id" toml:"id"`
	Region string `json:"region" toml:"region"`
	Out    bool   `json:"out,omitempty" toml:"out"`
}
