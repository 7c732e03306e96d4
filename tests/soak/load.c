#include "load.h"

#define LOAD_SEED 0x6c6f6164
#define EVEN_MBPS 100
#define PRESSING_PERCENT_MAX 30

void load_even(struct load *l)
{
	unsigned i;

	*l = (struct load){ 0 };
	for (i = 0; i < LOAD_PROXIES_MAX; i++)
		l->proxies[i].mbps = EVEN_MBPS;
}

/* Every draw is made, so that one that is added last changes no other. */
void load_draw(struct load *l, guint32 seed)
{
	static const char *const words[] = { "auto", "on", "off" };
	static const struct load_proxy sizes[] = {
		{ "0.084", 10 }, { "0.12", 10 }, { "0.5", 200 },
		{ "0.5", 200 },	 { "0.5", 10 },	 { NULL, 100 },
	};
	GRand *rng = g_rand_new_with_seed(seed ^ LOAD_SEED);
	unsigned i, n;
	bool pools;

	l->home_pooling = words[g_rand_int_range(rng, 0, G_N_ELEMENTS(words))];
	pools = g_rand_int_range(rng, 0, 3) == 0;
	l->pressing_percent =
		(unsigned)g_rand_int_range(rng, 0, PRESSING_PERCENT_MAX + 1);
	for (i = 0; i < LOAD_PROXIES_MAX; i++)
		l->proxies[i] =
			sizes[g_rand_int_range(rng, 0, G_N_ELEMENTS(sizes))];
	n = (unsigned)g_rand_int_range(rng, LOAD_POOLED_PROXIES,
				       LOAD_POOLED_PROXIES_MOST + 1);
	l->pooled_proxies = pools ? n : 0;
	g_rand_free(rng);
}

char *load_text(const struct load *l, unsigned n)
{
	GString *out = g_string_new(NULL);
	unsigned i;

	g_string_printf(out, "pooling %s, %u %% pressing, cpu/Mbit/s",
			l->home_pooling ? l->home_pooling : "-",
			l->pressing_percent);
	for (i = 0; i < n; i++)
		g_string_append_printf(out, " %s/%u",
				       l->proxies[i].cpu ? l->proxies[i].cpu :
							   "-",
				       l->proxies[i].mbps);
	g_string_append_c(out, '\n');
	return g_string_free(out, FALSE);
}
