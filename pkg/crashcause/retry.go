package crashcause

import "time"

// Retry is what a VM does next with a request that may run again and whose upstream has ended with a
// run of it, before it had sent anything of the answer.
type Retry uint8

// The decisions.
const (
	// RetryWait: the decision is made again at a given time.
	RetryWait Retry = iota
	// RetryNow: the request runs again, as the trial of its suspicion if it is suspected.
	RetryNow
	// RetryNever: the request does not run again.
	RetryNever
)

// Ended is what a VM has seen of one request whose upstream has ended.
type Ended struct {
	// Upstreams is the number of upstreams that ended with a run of the request.
	Upstreams int
	// First is when the first of them ended.
	First time.Time
	// Until is the time by which the request must run again, at the latest.
	Until time.Time
}

const (
	// retryCheckInterval is the interval at which a decision that depends on other VMs is made again.
	retryCheckInterval = 50 * time.Millisecond
	// HeardTime is the time after a crash in which the other VMs have heard of it, also if some messages
	// are late or lost. A failure that makes the caller repeat its request at another VM is told then.
	HeardTime = 500 * time.Millisecond
)

// Retry decides whether a request with the given parts runs again, and for RetryWait when to ask
// again. One request ends at most two upstreams: the second one as a trial, which all VMs wait for.
func (f *Filter) Retry(now time.Time, parts []Part, ended Ended) (Retry, time.Time) {
	if ended.Upstreams > 1 {
		return RetryNever, time.Time{}
	}
	evidence := ended.First.Add(ReportingTime)
	if evidence.After(ended.Until) {
		evidence = ended.Until
	}
	if now.Before(evidence) {
		return RetryWait, evidence
	}
	if f == nil {
		return RetryNow, time.Time{}
	}
	group, found := f.Match(parts)
	switch {
	case !found: // it is known to be sound, many upstreams failed together, or no conclusion has been drawn
		return RetryNow, time.Time{}
	case group.FailedTrials > 0:
		return RetryNever, time.Time{}
	case group.Crashes == 1 && !group.onTrial:
		return RetryNow, time.Time{}
	case group.Undecided(now) && now.Before(ended.Until): // another VM may know more
		return RetryWait, now.Add(retryCheckInterval)
	}
	return RetryNever, time.Time{}
}
