package daemon

import (
	"almondstile/settings"
	"almondstile/store"
	"almondstile/store/dynamo"
	"almondstile/store/s3"
	"almondstile/store/vmlist"
)

// Platform holds the clients of the platform services that a daemon uses.
type Platform struct {
	Table   store.Table
	Objects store.ObjectStore
	VMs     store.VMList
}

// Connect returns clients of the platform services that the settings name. The
// clients connect at their first call.
func Connect(p *settings.Platform) Platform {
	return Platform{
		Table: dynamo.New(dynamo.Options{
			Endpoint: p.TableEndpoint, Region: p.Region, Table: p.Table,
			AccessKey: p.AccessKey, SecretKey: p.SecretKey.Reveal(), CallTimeout: p.Timeout(),
		}),
		Objects: s3.New(s3.Options{
			Endpoint: p.ObjectEndpoint, Region: p.Region, Bucket: p.Bucket,
			AccessKey: p.AccessKey, SecretKey: p.SecretKey.Reveal(), CallTimeout: p.Timeout(),
		}),
		VMs: vmlist.New(vmlist.Options{URL: p.VMListURL, CallTimeout: p.Timeout()}),
	}
}
