package routing

// minQuotaBurst is the least burst in requests that is within a tenant's quota: a small tenant's quota,
// divided by many replicas, is far below one request per second.
const minQuotaBurst = 2.0

// admission holds the state that decides which requests are admitted and which are within their quota.
type admission struct {
	quotas       []tokenBucket // by index in Config.Tenants
	shedder      loadShedder
	congestion   congestionController
	shuttingDown bool
}

func newAdmission(config Config) admission {
	a := admission{quotas: make([]tokenBucket, 0, len(config.Tenants))}
	for _, tenant := range config.Tenants {
		rate := tenant.QuotaPerS / float64(config.Replicas)
		a.quotas = append(a.quotas, tokenBucket{level: max(2*rate, minQuotaBurst), rate: rate})
	}
	return a
}

func (a *admission) refillQuotas(elapsed float64) {
	for i := range a.quotas {
		a.quotas[i].refill(elapsed)
	}
}

// takeQuota takes a request from its tenant's quota and reports whether it exceeds the quota.
func (a *admission) takeQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(a.quotas) || a.quotas[tenant].rate <= 0 {
		return false
	}
	return !a.quotas[tenant].take()
}

// tokenBucket limits the rate of a tenant's requests: level is in requests, rate in requests per second.
type tokenBucket struct{ level, rate float64 }

func (t *tokenBucket) refill(elapsed float64) {
	t.level = min(t.level+float64(t.rate*elapsed), max(2*t.rate, minQuotaBurst))
}

func (t *tokenBucket) take() bool {
	if t.level < 1 {
		return false
	}
	t.level--
	return true
}

// handleRequest queues a new request, marked as shed if it is to be rejected at the next dispatch. A possible
// duplicate of a class that is not idempotent fails at once. Requests with a known id or an unknown class are
// dropped.
func (r *Router) handleRequest(event Request) {
	if r.requests[event.ID] != nil || event.Class < 0 || event.Class >= len(r.config.Classes) {
		return
	}
	class := &r.config.Classes[event.Class]
	if event.PossibleDuplicate && class.Idempotency == NotIdempotent {
		r.emit(Fail{Request: event.ID, PossibleDuplicate: true, Reason: ReasonPossibleDuplicate})
		return
	}
	req := &request{Request: event, class: class, arrivedAt: r.now}
	req.queued.overQuota = r.admission.takeQuota(event.Tenant)
	req.queued.dueAt = min(req.Deadline, req.objectiveAt())
	r.countAffinityKey(req)
	r.requests[event.ID] = req
	r.queue.shares.countArrival(req)
	r.queue.add(req)
	req.shed = r.admission.shuttingDown || r.shedForOverload(req) || r.shedForCongestion(req)
}
