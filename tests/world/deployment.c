#include "world/deployment.h"

#include <glib.h>

#define SEED_DEFAULT "20261204"

static deployment_t deployment_small(void)
{
	const char *seed = g_getenv("SEED");

	return (deployment_t){
		.domains_count = 3,
		.nodes_per_domain = 2,
		.services = 1,
		.databases = 1,
		.slots = 3,
		.confirm_replicas = 1,
		.owners = 2,
		.open_delay_ms = 12,
		.relay = true,
		.seed = g_ascii_strtoull(seed ? seed : SEED_DEFAULT, NULL, 10),
	};
}

deployment_t deployment_tauhara(void)
{
	deployment_t deployment = deployment_small();

	deployment.site = "tauhara";
	deployment.domains[0] = (deployment_domain_t){"akl-a", "akl"};
	deployment.domains[1] = (deployment_domain_t){"wlg-a", "wlg"};
	deployment.domains[2] = (deployment_domain_t){"chc-a", "chc"};
	deployment.service = "match-core";
	deployment.connections = 20;
	deployment.classes[0] = (deployment_class_t){"studio", 4, 0};
	deployment.classes[1] = (deployment_class_t){"dancer", 1, 2000};
	deployment.classes_count = 2;
	deployment.domain_delay_ms = 5;
	deployment.caller_delay_ms = 1;
	return deployment;
}

deployment_t deployment_tikva(void)
{
	deployment_t deployment = deployment_small();

	deployment.site = "tikva";
	deployment.domains[0] = (deployment_domain_t){"plovdiv-a", "plovdiv"};
	deployment.domains[1] = (deployment_domain_t){"gabrovo-a", "gabrovo"};
	deployment.domains[2] = (deployment_domain_t){"varna-a", "varna"};
	deployment.service = "tikva-orders";
	deployment.connections = 40;
	deployment.classes[0] = (deployment_class_t){"foreman", 4, 0};
	deployment.classes[1] = (deployment_class_t){"dealer", 1, 2000};
	deployment.classes_count = 2;
	/* Jitter of up to 1 ms on top of 3 ms: 3.5 ms on average. */
	deployment.domain_delay_ms = 3;
	deployment.jitter_ms = 1;
	deployment.caller_delay_ms = 3;
	return deployment;
}
