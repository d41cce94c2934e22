#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/*
 * tracegen - generates one of the traces of bench/traces: tracegen KIND SEED
 *
 * Each function writes a load and its expected outcomes. The outcomes follow from the needs of the
 * users.
 */
#define STEP_MS 10000

struct generator {
	GRand *rand;
	uint64_t job;
};

static void emit_start(int64_t t_ms, const char *ev)
{
	printf("{\"t\":%ld,\"ev\":\"%s\",", (long)t_ms, ev);
}

/* Writes one event. The arguments after ev give its other members, as for printf(). */
#define emit(t_ms, ev, ...)                                                                        \
	do {                                                                                       \
		emit_start(t_ms, ev);                                                              \
		printf(__VA_ARGS__);                                                               \
		printf("}\n");                                                                     \
	} while (0)

/* A random number within 10 % of n. */
static uint32_t jitter(struct generator *g, double n)
{
	return (uint32_t)lround(n * g_rand_double_range(g->rand, 0.9, 1.1));
}

static double gaussian(int64_t t_ms, int64_t peak_ms, int64_t width_ms)
{
	double x = (double)(t_ms - peak_ms) / (double)width_ms;

	return exp(-x * x);
}

static void add_coach_desk(uint32_t n)
{
	emit(0, "workers",
	     "\"name\":\"coach-desk\",\"n\":%u,\"per_rack\":5,\"cpu_milli\":32000,\"mem_gib\":128,"
	     "\"slots\":8,\"connections\":64,\"service\":1",
	     n);
}

static void add_history_desk(uint32_t n)
{
	emit(0, "workers",
	     "\"name\":\"history-desk\",\"n\":%u,\"per_rack\":5,\"cpu_milli\":64000,\"mem_gib\":"
	     "256,"
	     "\"slots\":8,\"connections\":64,\"service\":1",
	     n);
}

/*
 * Requests peak around a cup match. Gangs track the match, and batch recoding fills the remaining
 * capacity.
 */
static void shuangxi_evening(struct generator *g)
{
	add_coach_desk(35);
	emit(0, "workers",
	     "\"name\":\"vision-lab\",\"n\":13,\"per_rack\":3,\"cpu_milli\":128000,\"mem_gib\":512,"
	     "\"accel\":8,\"slots\":8,\"connections\":64,\"service\":2");
	emit(0, "work",
	     "\"class\":\"service\",\"job\":1,\"n\":20,\"service\":5,\"team\":90,\"cpu_milli\":"
	     "1000,"
	     "\"mem_gib\":2");
	emit(10, "work",
	     "\"class\":\"batch\",\"job\":2,\"n\":6000,\"over_ms\":300000,\"service\":3,\"team\":"
	     "60,"
	     "\"teams\":30,\"cpu_milli\":4000,\"mem_gib\":8,\"run_ms\":60000,\"spread_percent\":30,"
	     "\"preemptible\":true");
	for (int64_t t = 0; t < 600000; t += STEP_MS) {
		uint32_t n = jitter(g, (40 + 200 * gaussian(t, 360000, 120000)) * STEP_MS / 1000);

		emit(t + 20, "work",
		     "\"class\":\"request\",\"slot\":true,\"service\":1,\"n\":%u,\"over_ms\":%d,"
		     "\"teams\":60,\"run_ms\":800,\"spread_percent\":30,\"deadline_ms\":10000",
		     n, STEP_MS);
		emit(t + 20, "work",
		     "\"class\":\"urgent\",\"slot\":true,\"service\":1,\"n\":%u,\"over_ms\":%d,"
		     "\"teams\":60,\"run_ms\":800,\"spread_percent\":30,\"deadline_ms\":4000",
		     n / 20, STEP_MS);
		if (t % 60000 == 0)
			emit(t + 30, "work",
			     "\"class\":\"gang\",\"job\":%lu,\"gang\":4,\"n\":4,\"service\":4,"
			     "\"team\":%lu,\"cpu_milli\":16000,\"mem_gib\":64,\"accel\":2,"
			     "\"run_ms\":120000",
			     (unsigned long)(100 + t), (unsigned long)(t / 60000));
	}
	emit(600000, "expect",
	     "\"what\":\"wait_max_ms\",\"class\":\"urgent\",\"le\":1500,\"why\":\"urgent work "
	     "starts "
	     "within 1.5 s\"");
	emit(600000, "expect",
	     "\"what\":\"late\",\"le\":0,\"why\":\"no coach gets an answer after its deadline\"");
	emit(600000, "expect",
	     "\"what\":\"not_run\",\"le\":0,\"why\":\"the peak is below what the slots can "
	     "serve\"");
	emit(600000, "expect",
	     "\"what\":\"wait_max_ms\",\"class\":\"gang\",\"le\":79000,\"why\":\"tracking waits no "
	     "longer than 0.5 s and the longest task that runs\"");
	emit(600000, "expect",
	     "\"what\":\"started\",\"class\":\"gang\",\"ge\":40,\"why\":\"no tracking job is "
	     "lost\"");
	emit(600000, "expect",
	     "\"what\":\"done\",\"class\":\"batch\",\"ge\":2000,\"why\":\"recoding fills the "
	     "rest\"");
}

/*
 * Requests of dealers peak at noon while the reconciliation jobs of the night still run, together
 * with gangs that match photos.
 */
static void rodowod_noon(struct generator *g)
{
	add_history_desk(35);
	emit(0, "workers",
	     "\"name\":\"photo-lab\",\"n\":13,\"per_rack\":3,\"cpu_milli\":64000,\"mem_gib\":128,"
	     "\"accel\":8,\"slots\":8,\"connections\":64,\"service\":2");
	emit(0, "work",
	     "\"class\":\"service\",\"job\":1,\"n\":200,\"service\":5,\"team\":90,\"cpu_milli\":"
	     "1000,"
	     "\"mem_gib\":1");
	for (int i = 0; i < 10; i++)
		emit(10 + i, "work",
		     "\"class\":\"batch\",\"job\":%d,\"n\":2500,\"service\":3,\"team\":%d,"
		     "\"cpu_milli\":2000,\"mem_gib\":4,\"run_ms\":20000,\"true_ms\":30000,"
		     "\"spread_percent\":20",
		     10 + i, 60 + i);
	for (int64_t t = 0; t < 400000; t += STEP_MS) {
		uint32_t n = jitter(g, (60 + 350 * gaussian(t, 200000, 80000)) * STEP_MS / 1000);

		emit(t + 20, "work",
		     "\"class\":\"request\",\"slot\":true,\"service\":1,\"n\":%u,\"over_ms\":%d,"
		     "\"teams\":50,\"run_ms\":500,\"spread_percent\":30,\"deadline_ms\":3000",
		     n, STEP_MS);
		emit(t + 25, "work",
		     "\"class\":\"urgent\",\"service\":6,\"n\":2,\"team\":70,\"over_ms\":%d,"
		     "\"cpu_milli\":16000,\"mem_gib\":32,\"run_ms\":15000",
		     STEP_MS);
		if (t % 40000 == 0)
			emit(t + 30, "work",
			     "\"class\":\"gang\",\"job\":%lu,\"gang\":6,\"n\":6,\"service\":4,"
			     "\"team\":71,\"cpu_milli\":8000,\"mem_gib\":16,\"accel\":2,"
			     "\"run_ms\":30000",
			     (unsigned long)(1000 + t));
	}
	emit(400000, "expect",
	     "\"what\":\"wait_max_ms\",\"class\":\"urgent\",\"le\":1500,\"why\":\"urgent work "
	     "starts "
	     "within 1.5 s in a cell full of batch that can't be preempted\"");
	emit(400000, "expect",
	     "\"what\":\"not_run\",\"class\":\"urgent\",\"le\":0,\"why\":\"and is not refused\"");
	emit(400000, "expect",
	     "\"what\":\"late\",\"class\":\"request\",\"le\":0,\"why\":\"no dealer gets a late "
	     "report\"");
	emit(400000, "expect",
	     "\"what\":\"not_run\",\"class\":\"request\",\"le\":0,\"why\":\"the noon peak is below "
	     "what the slots can serve\"");
	emit(400000, "expect",
	     "\"what\":\"started\",\"class\":\"gang\",\"ge\":60,\"why\":\"photo matching is not "
	     "starved by batch\"");
	emit(400000, "expect",
	     "\"what\":\"started\",\"class\":\"service\",\"ge\":200,\"why\":\"every odometer "
	     "watcher "
	     "runs\"");
	for (int i = 0; i < 10; i += 9)
		emit(400000, "expect",
		     "\"what\":\"done\",\"team\":%d,\"ge\":900,\"why\":\"insurers get equal "
		     "shares, "
		     "whoever came first\"",
		     60 + i);
}

/* One worker fails everything that it starts. */
static void bad_worker(struct generator *g)
{
	add_history_desk(20);
	emit(0, "worker", "\"worker\":3,\"condition\":\"bad\"");
	for (int i = 0; i < 50; i++)
		emit(10 + i, "work",
		     "\"class\":\"batch\",\"job\":%d,\"n\":40,\"over_ms\":60000,\"team\":%d,"
		     "\"service\":%d,\"cpu_milli\":4000,\"mem_gib\":8,\"run_ms\":%u",
		     1 + i, i % 10, 10 + i, jitter(g, 5000));
	emit(120000, "expect",
	     "\"what\":\"worker_starts\",\"worker\":3,\"le\":40,\"why\":\"a bad worker does not "
	     "become "
	     "the favourite\"");
	emit(120000, "expect",
	     "\"what\":\"done\",\"class\":\"batch\",\"ge\":2000,\"why\":\"all work ends well "
	     "elsewhere\"");
}

/* One job fails on every worker. */
static void bad_job(struct generator *g)
{
	add_history_desk(20);
	emit(0, "work",
	     "\"class\":\"batch\",\"job\":1,\"n\":400,\"over_ms\":30000,\"team\":1,\"service\":9,"
	     "\"cpu_milli\":4000,\"mem_gib\":8,\"run_ms\":5000,\"fails\":true");
	emit(20000, "work",
	     "\"class\":\"batch\",\"job\":2,\"n\":2000,\"over_ms\":60000,\"team\":2,\"service\":10,"
	     "\"cpu_milli\":8000,\"mem_gib\":8,\"run_ms\":%u",
	     jitter(g, 4000));
	emit(110000, "expect",
	     "\"what\":\"wait_max_ms\",\"job\":2,\"le\":1500,\"why\":\"a bad job takes no good "
	     "worker "
	     "out of service: 133 of 160 places are used\"");
	emit(110000, "expect",
	     "\"what\":\"done\",\"job\":2,\"ge\":2000,\"why\":\"all other work ends\"");
}

/* 10,000 waiting requests and tasks are cancelled within a second. */
static void cancel_wave(struct generator *g)
{
	add_coach_desk(10);
	emit(0, "work",
	     "\"class\":\"request\",\"job\":1,\"slot\":true,\"service\":1,\"n\":5000,\"team\":1,"
	     "\"run_ms\":%u",
	     jitter(g, 20000));
	emit(0, "work",
	     "\"class\":\"batch\",\"job\":1,\"n\":5300,\"team\":1,\"service\":3,\"cpu_milli\":"
	     "16000,"
	     "\"mem_gib\":8,\"run_ms\":600000");
	emit(10000, "cancel", "\"job\":1");
	emit(10500, "work",
	     "\"class\":\"request\",\"job\":2,\"slot\":true,\"service\":1,\"n\":100,\"over_ms\":"
	     "1000,"
	     "\"team\":2,\"run_ms\":200,\"deadline_ms\":60000");
	emit(10500, "work",
	     "\"class\":\"urgent\",\"job\":3,\"slot\":true,\"service\":1,\"n\":20,\"over_ms\":1000,"
	     "\"team\":2,\"run_ms\":200");
	emit(60000, "expect",
	     "\"what\":\"cancelled\",\"job\":1,\"ge\":10000,\"why\":\"each that waited is "
	     "cancelled\"");
	emit(60000, "expect",
	     "\"what\":\"done\",\"job\":2,\"ge\":100,\"why\":\"what comes after it is served\"");
	emit(60000, "expect",
	     "\"what\":\"wait_max_ms\",\"job\":3,\"le\":1500,\"why\":\"urgent work starts within "
	     "1.5 s\"");
}

/* One team sends ten times the load that the runners can serve. */
static void team_burst(struct generator *g)
{
	add_coach_desk(10);
	emit(0, "work",
	     "\"class\":\"request\",\"slot\":true,\"service\":1,\"n\":60000,\"over_ms\":30000,"
	     "\"team\":1,\"run_ms\":%u,\"deadline_ms\":4000",
	     jitter(g, 400));
	emit(0, "work",
	     "\"class\":\"request\",\"slot\":true,\"service\":1,\"n\":3000,\"over_ms\":60000,"
	     "\"team\":2,\"run_ms\":400,\"deadline_ms\":4000");
	emit(100, "work",
	     "\"class\":\"batch\",\"job\":1,\"n\":9000,\"team\":1,\"service\":3,\"cpu_milli\":4000,"
	     "\"mem_gib\":4,\"run_ms\":5000");
	emit(20000, "work",
	     "\"class\":\"batch\",\"job\":2,\"n\":40,\"team\":3,\"service\":4,\"cpu_milli\":4000,"
	     "\"mem_gib\":4,\"run_ms\":5000");
	emit(80000, "expect",
	     "\"what\":\"not_run\",\"team\":2,\"le\":0,\"why\":\"the burst of one team does not "
	     "refuse "
	     "another\"");
	emit(80000, "expect",
	     "\"what\":\"late\",\"class\":\"request\",\"le\":0,\"why\":\"what is admitted is in "
	     "time\"");
	emit(80000, "expect",
	     "\"what\":\"refused_later\",\"class\":\"request\",\"le\":0,\"why\":\"what can't make "
	     "its "
	     "deadline is refused at once\"");
	emit(80000, "expect",
	     "\"what\":\"wait_max_ms\",\"job\":2,\"le\":11000,\"why\":\"a small team gets its "
	     "share as "
	     "soon as running tasks end: two run times at most\"");
}

/* All runners are lost for 20 s while callers keep retrying. */
static void retry_storm(struct generator *g)
{
	add_coach_desk(10);
	for (int i = 0; i < 10; i++)
		emit(5000, "worker", "\"worker\":%d,\"condition\":\"lost\"", i);
	emit(0, "work",
	     "\"class\":\"request\",\"slot\":true,\"service\":1,\"n\":7000,\"over_ms\":70000,"
	     "\"teams\":50,\"run_ms\":%u,\"deadline_ms\":3000,\"attempts\":20",
	     jitter(g, 400));
	emit(25000, "workers",
	     "\"name\":\"coach-desk-2\",\"n\":10,\"per_rack\":5,\"cpu_milli\":32000,\"mem_gib\":"
	     "128,"
	     "\"slots\":8,\"connections\":64,\"service\":1");
	emit(26000, "work",
	     "\"class\":\"request\",\"job\":9,\"slot\":true,\"service\":1,\"n\":2800,"
	     "\"over_ms\":40000,\"team\":60,\"teams\":10,\"run_ms\":400,\"deadline_ms\":3000");
	emit(120000, "expect",
	     "\"what\":\"not_run\",\"job\":9,\"le\":0,\"why\":\"first attempts after the outage "
	     "are not "
	     "pushed out by retries\"");
	emit(120000, "expect",
	     "\"what\":\"late\",\"class\":\"request\",\"le\":0,\"why\":\"what is admitted is in "
	     "time\"");
}

/* Tasks use eight times the memory and three times the run time that they declare. */
static void wrong_sizes(struct generator *g)
{
	add_history_desk(10);
	emit(0, "work",
	     "\"class\":\"batch\",\"job\":1,\"n\":1500,\"over_ms\":60000,\"team\":1,\"service\":7,"
	     "\"cpu_milli\":1000,\"mem_gib\":2,\"used_mib\":16384,\"run_ms\":3000,\"true_ms\":%u",
	     jitter(g, 9000));
	emit(0, "work",
	     "\"class\":\"batch\",\"job\":2,\"team\":2,\"service\":8,\"cpu_milli\":65000,"
	     "\"mem_gib\":2");
	emit(1, "work",
	     "\"class\":\"gang\",\"job\":3,\"gang\":41,\"n\":41,\"team\":2,\"service\":8,"
	     "\"cpu_milli\":16000,\"mem_gib\":2");
	emit(180000, "expect",
	     "\"what\":\"overruns\",\"le\":25,\"why\":\"only what started before the first "
	     "reports, "
	     "at most 1 s at 25 starts a second, may overfill a worker\"");
	emit(180000, "expect", "\"what\":\"done\",\"job\":1,\"ge\":1500,\"why\":\"all work ends\"");
	emit(180000, "expect",
	     "\"what\":\"never_fits\",\"job\":2,\"ge\":1,\"why\":\"larger than the largest "
	     "worker\"");
	emit(180000, "expect",
	     "\"what\":\"never_fits\",\"job\":3,\"ge\":41,\"why\":\"more than the cell holds\"");
}

/* Two gangs of more than half the cell under a steady stream of small tasks. */
static void gang_stream(struct generator *g)
{
	add_history_desk(12);
	emit(0, "work",
	     "\"class\":\"batch\",\"job\":1,\"n\":6000,\"over_ms\":120000,\"teams\":20,\"service\":"
	     "7,"
	     "\"cpu_milli\":4000,\"mem_gib\":4,\"run_ms\":5000,\"spread_percent\":%u",
	     jitter(g, 10));
	for (int i = 0; i < 2; i++)
		emit(20000, "work",
		     "\"class\":\"gang\",\"job\":%d,\"gang\":8,\"n\":8,\"over_ms\":100,\"team\":%d,"
		     "\"service\":8,\"cpu_milli\":56000,\"mem_gib\":64,\"run_ms\":10000",
		     2 + i, 30 + i);
	emit(120000, "expect",
	     "\"what\":\"wait_max_ms\",\"job\":2,\"le\":6500,\"why\":\"0.5 s, then what runs "
	     "ends\"");
	emit(120000, "expect",
	     "\"what\":\"wait_max_ms\",\"job\":3,\"le\":23000,\"why\":\"after the first, as long "
	     "again\"");
	emit(120000, "expect",
	     "\"what\":\"started\",\"class\":\"gang\",\"ge\":16,\"why\":\"both start, whole\"");
}

/* A rack of five workers is lost, and another worker leaves. */
static void lost_rack(struct generator *g)
{
	add_history_desk(20);
	emit(0, "work",
	     "\"class\":\"batch\",\"job\":1,\"n\":1200,\"over_ms\":60000,\"teams\":5,\"service\":7,"
	     "\"cpu_milli\":4000,\"mem_gib\":4,\"run_ms\":%u",
	     jitter(g, 10000));
	emit(5, "work",
	     "\"class\":\"service\",\"job\":2,\"n\":8,\"team\":9,\"service\":8,\"cpu_milli\":1000,"
	     "\"mem_gib\":1");
	for (int i = 0; i < 5; i++)
		emit(20000, "worker", "\"worker\":%d,\"condition\":\"lost\"", i);
	emit(25000, "worker", "\"worker\":7,\"condition\":\"leaving\"");
	emit(120000, "expect",
	     "\"what\":\"done\",\"job\":1,\"ge\":1200,\"why\":\"what ran on the lost rack is run "
	     "again "
	     "once it is known to be gone\"");
}

/*
 * For a minute a service gets more requests than it can serve. Some callers can wait, others
 * can't.
 */
static void desk_overload(struct generator *g)
{
	uint32_t run_ms = jitter(g, 400);

	add_coach_desk(10);
	emit(0, "work",
	     "\"class\":\"request\",\"job\":1,\"slot\":true,\"service\":1,\"n\":9000,"
	     "\"over_ms\":60000,\"teams\":40,\"run_ms\":%u,\"deadline_ms\":25000",
	     run_ms);
	emit(0, "work",
	     "\"class\":\"request\",\"job\":2,\"slot\":true,\"service\":1,\"n\":4800,"
	     "\"over_ms\":60000,\"team\":40,\"teams\":20,\"run_ms\":%u,\"deadline_ms\":1500",
	     run_ms);
	emit(120000, "expect",
	     "\"what\":\"not_run\",\"le\":0,\"why\":\"230 a second for 60 s are asked, 172 are "
	     "served: "
	     "the rest takes 20 s, and those who can wait have 25 s\"");
	emit(120000, "expect",
	     "\"what\":\"late\",\"le\":0,\"why\":\"what is admitted is in time\"");
}

struct trace_writer {
	const char *name;
	void (*write)(struct generator *g);
};

int main(int argc, char **argv)
{
	static const struct trace_writer writers[] = {
		{ "shuangxi-evening", shuangxi_evening },
		{ "rodowod-noon", rodowod_noon },
		{ "bad-worker", bad_worker },
		{ "bad-job", bad_job },
		{ "cancel-wave", cancel_wave },
		{ "team-burst", team_burst },
		{ "retry-storm", retry_storm },
		{ "wrong-sizes", wrong_sizes },
		{ "gang-stream", gang_stream },
		{ "lost-rack", lost_rack },
		{ "desk-overload", desk_overload },
	};
	struct generator g = { 0 };

	for (size_t i = 0; argc == 3 && i < G_N_ELEMENTS(writers); i++) {
		if (strcmp(argv[1], writers[i].name) != 0)
			continue;
		g.rand = g_rand_new_with_seed((guint32)atoi(argv[2]));
		writers[i].write(&g);
		g_rand_free(g.rand);
		return 0;
	}
	fprintf(stderr, "usage: tracegen KIND SEED\n");
	for (size_t i = 0; i < G_N_ELEMENTS(writers); i++)
		fprintf(stderr, "  %s\n", writers[i].name);
	return 2;
}
