package routing

// minQuotaBurst is the least burst of a tenant within its quota: the quota of a small tenant at one of many
// replicas is far below one request.
const minQuotaBurst = 2.0

// admission decides what is taken in, and in which order.
type admission struct {
	quotas       []tokenBucket // by tenant
	shedder      loadShedder
	congestion   prefillCongestion
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

// overQuota books a request of a tenant and reports that it is beyond the quota.
func (a *admission) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(a.quotas) || a.quotas[tenant].rate <= 0 {
		return false
	}
	return !a.quotas[tenant].take()
}

// tokenBucket keeps a tenant's quota, in requests.
type tokenBucket struct{ level, rate float64 }

func (t *tokenBucket) refill(elapsed float64) {
	t.level = min(t.level+t.rate*elapsed, max(2*t.rate, minQuotaBurst))
}

func (t *tokenBucket) take() bool {
	if t.level < 1 {
		return false
	}
	t.level--
	return true
}

func (r *Router) arrive(event Request) {
	if r.requests[event.ID] != nil || event.Class < 0 || event.Class >= len(r.config.Classes) {
		return
	}
	class := &r.config.Classes[event.Class]
	if event.PossibleDuplicate && class.Idempotency == NotIdempotent {
		r.emit(Fail{Request: event.ID, PossibleDuplicate: true, Reason: ReasonPossibleDuplicate})
		return
	}
	req := &request{Request: event, class: class, arrivedAt: r.now}
	req.queued.overQuota = r.admission.overQuota(event.Tenant)
	req.queued.limit = min(req.Deadline, req.objectiveAt())
	r.countAffinityKey(req)
	r.requests[event.ID] = req
	r.queue.shares.arrived(req)
	r.queue.add(req)
	req.shed = r.admission.shuttingDown || r.shouldShed(req) || r.congestionSheds(req)
}
