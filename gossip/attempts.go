package gossip

import (
	"almondstile/retry"
	"almondstile/tally"
)

// attemptWindows is the encoded form of retry.Windows.
type attemptWindows struct {
	_                 struct{} `cbor:",toarray"`
	CompleteForMillis int64
	Services          []serviceWindow
}

// serviceWindow is the encoded form of a retry.ServiceWindow.
type serviceWindow struct {
	_       struct{} `cbor:",toarray"`
	Subject []byte
	Slots   []slotCounts
}

// slotCounts is the encoded form of a retry.SlotCounts.
type slotCounts struct {
	_              struct{} `cbor:",toarray"`
	Age            int
	First, Retries uint64
}

func toAttemptWindows(w retry.Windows) attemptWindows {
	out := attemptWindows{CompleteForMillis: toMillis(w.CompleteFor)}
	for _, s := range w.Services {
		service := serviceWindow{Subject: []byte(s.Subject)}
		for _, c := range s.Slots {
			service.Slots = append(service.Slots, slotCounts{Age: c.Age, First: c.First, Retries: c.Retries})
		}
		out.Services = append(out.Services, service)
	}
	return out
}

func (w attemptWindows) windows() retry.Windows {
	out := retry.Windows{CompleteFor: fromMillis(w.CompleteForMillis)}
	for _, s := range w.Services {
		service := retry.ServiceWindow{Subject: tally.Subject(s.Subject)}
		for _, c := range s.Slots {
			service.Slots = append(service.Slots, retry.SlotCounts{Age: c.Age, First: c.First, Retries: c.Retries})
		}
		out.Services = append(out.Services, service)
	}
	return out
}
