package rollout

import (
	"math"
	"time"
)

// findings are the results of a comparison.
type findings struct {
	at time.Time
	// evidence is that the version is worse, evidenceAll that it or some of its servers are.
	evidence, evidenceAll float64
	// compared is the number of responses of the target without those of servers that may
	// be worse alone.
	compared                float64
	responses               float64
	failures, slow          float64
	oldResponses, oldFailed float64
	// excessFailures is the number of failures of all target servers beyond twice those
	// that the old servers would have had.
	excessFailures float64
	requestSeconds float64 // typical latency, 0 if not known
}

// compare updates the findings and the suspect servers.
func (j *Judge) compare(now time.Time, targets int) {
	f := findings{at: now, compared: math.Inf(1), requestSeconds: j.evidence.typicalSeconds()}
	for _, slots := range j.evidence.routes {
		for i := range slots {
			f.oldResponses += slots[i].old.responses
			f.oldFailed += slots[i].old.failures
		}
	}
	for _, comparison := range j.evidence.compare() {
		j.compareKind(comparison, targets, &f)
	}
	j.findings = f
}

// compareKind adds one kind of badness to the findings.
func (j *Judge) compareKind(comparison comparison, targets int, f *findings) {
	found := comparison.find(targets < 2)
	f.evidence += found.ratio / float64(kindCount)
	f.evidenceAll += found.ratioAll / float64(kindCount)
	all, expected := comparison.target(allFolds)
	clear := all
	if found.worst != allFolds {
		worst, _ := comparison.target(found.worst)
		clear.all -= worst.all
	}
	if comparison.kind == failing {
		f.responses, f.failures = all.all, all.bad
		f.compared = min(f.compared, clear.all)
		f.excessFailures = all.bad - 2*expected
	} else {
		f.slow = all.bad
		if found.worst != allFolds {
			f.compared = min(f.compared, clear.all)
		}
	}
	if found.worstRatio < suspectEvidence || found.ratio >= suspectEvidence {
		return
	}
	for _, key := range j.evidence.serversOf(found.worst) {
		j.suspects[key] = true
	}
}
