#include "relay/relay_quota_private.h"

#include "base/clock.h"

static void on_changed(void *context)
{
	quota_domain_t *domain = context;

	quota_loan_set_reachable(domain->quota->loans, domain->index,
				 relay_quota_link_is_open(domain->loan_link));
}

static void on_answered(void *context, const char *customer, uint32_t count,
			const quota_admission_t *admission)
{
	const quota_domain_t *domain = context;
	relay_quota_t *quota = domain->quota;
	const uint32_t granted = admission ? admission->granted : 0;

	quota_loan_answered(quota->loans, customer, admission, clock_boot_ms());
	relay_quota_leader_end_loan(quota->own, customer, granted);
	metric_add(metrics_counter(quota_settings(quota)->metrics,
				   "toucanhook_quota_tokens_total",
				   "kind=\"borrowed\""),
		   granted);
}

static void on_unanswered(void *context, const char *customer)
{
	const quota_domain_t *domain = context;

	quota_loan_failed(domain->quota->loans, customer, clock_boot_ms());
	relay_quota_leader_end_loan(domain->quota->own, customer, 0);
}

static void on_failed(void *context, bool refused)
{
	on_changed(context);
}

relay_quota_link_t *quota_loan_link_create(quota_domain_t *domain)
{
	return relay_quota_link_create(domain->quota->services, UINT32_MAX,
				       (relay_quota_link_handlers_t){
					       .changed = on_changed,
					       .answered = on_answered,
					       .unanswered = on_unanswered,
					       .failed = on_failed,
					       .context = domain,
				       });
}

/* Connects to all lenders, so that the next shortage finds one. */
static void connect_lenders(relay_quota_t *quota)
{
	const uint64_t now_ms = clock_boot_ms();

	for (guint i = 0; i < quota->domains->len; i++) {
		const quota_domain_t *domain = quota->domains->pdata[i];

		if (domain->distance != QUOTA_DISTANCE_OWN)
			relay_quota_link_connect(domain->loan_link, now_ms);
	}
}

bool quota_loan_borrow(void *context, const char *customer, uint32_t count)
{
	relay_quota_t *quota = context;
	const quota_domain_t *domain;
	uint32_t lender;

	connect_lenders(quota);
	lender = quota_loan_choose(quota->loans, customer, count,
				   clock_boot_ms());
	if (lender == QUOTA_LOAN_NONE)
		return false;
	domain = quota->domains->pdata[lender];
	relay_quota_link_borrow(domain->loan_link, customer, count);
	quota_schedule(quota);
	return true;
}
