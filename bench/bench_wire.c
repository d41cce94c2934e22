/* Sizes of the messages between daemons, and the processor time to encode and decode them. */
#include <gio/gio.h>

#include "bench.h"
#include "link.h"

#define ROOMS_TYPICAL	4
#define CODEC_ROUNDS	200
#define FRAME_MAX_BYTES (2 * 1024 * 1024)

static const uint32_t room_counts[] = { 1, 4, 16, 64, 256 };
static const uint32_t message_counts[] = { 1, 16, 64, 256 };
static const uint32_t record_counts[] = { 1, 8, 32, 128 };

static size_t frame_bytes(const Kw__Envelope *e)
{
	return FRAME_HEADER_BYTES + kw__envelope__get_packed_size(e);
}

struct heartbeat {
	Kw__Beat message;
	Kw__Envelope envelope;
	Kw__Room *rooms;
	Kw__Room **ptrs;
};

static void heartbeat_init(struct heartbeat *b, uint32_t rooms)
{
	kw__beat__init(&b->message);
	kw__envelope__init(&b->envelope);
	b->rooms = g_new(Kw__Room, rooms);
	b->ptrs = g_new(Kw__Room *, rooms);
	for (uint32_t i = 0; i < rooms; i++) {
		Kw__Room *r = &b->rooms[i];

		kw__room__init(r);
		r->service = g_strdup_printf("service-%04u", i);
		r->free_slots = 100 + i;
		r->queued = 3;
		r->wait_ms = 250;
		r->free_cpu_milli = 64000;
		r->free_mem_bytes = (uint64_t)64 << 30;
		r->free_accel = 2;
		b->ptrs[i] = r;
	}
	b->message.seq = 1000000;
	b->message.config_version = 7400;
	b->message.config_offset = 100000;
	b->message.list_hash = UINT64_MAX;
	b->message.n_room = rooms;
	b->message.room = b->ptrs;
	b->envelope.body_case = KW__ENVELOPE__BODY_BEAT;
	b->envelope.beat = &b->message;
}

static void heartbeat_clear(struct heartbeat *b)
{
	for (size_t i = 0; i < b->message.n_room; i++)
		g_free(b->rooms[i].service);
	g_free(b->rooms);
	g_free(b->ptrs);
}

static void encode_and_decode(void *ctx)
{
	const struct heartbeat *b = ctx;

	for (int i = 0; i < CODEC_ROUNDS; i++) {
		GBytes *frame = frame_encode(&b->envelope);
		GByteArray *in = g_bytes_unref_to_array(frame);
		Kw__Envelope *e = NULL;
		uint32_t size;

		if (frame_decode(in, FRAME_MAX_BYTES, &e, &size) != FRAME_OK)
			g_error("can't decode a frame");
		kw__envelope__free_unpacked(e, NULL);
		g_byte_array_unref(in);
	}
}

static void measure_heartbeats(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(room_counts); i++) {
		struct heartbeat b;

		heartbeat_init(&b, room_counts[i]);
		bench_measure("beat_codec_200", "rooms", room_counts[i], encode_and_decode, &b);
		if (!bench_under_callgrind())
			bench_print_point("beat_bytes", "bytes", "rooms", room_counts[i],
					  (double)frame_bytes(&b.envelope));
		heartbeat_clear(&b);
	}
}

/*
 * A Call from the coordinator of a job to an owner, with its Begin and End. omit_job_fields leaves
 * out the fields that all tasks of a job share.
 */
static size_t task_bytes(uint32_t index, bool omit_job_fields)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Kw__Call call = KW__CALL__INIT;
	Kw__Begin begin = KW__BEGIN__INIT;
	Kw__End end = KW__END__INIT;
	size_t bytes;

	call.id = 1000000 + index;
	call.kind = KW__CALL_KIND__CALL_TASK;
	call.index = index;
	call.attempt = 1;
	if (!omit_job_fields) {
		call.team = (char *)"team-0123";
		call.service = (char *)"service-0123";
		call.job = (char *)"01936f00-0000-7000-8000-000000000000";
		call.cpu_milli = 2000;
		call.mem_bytes = (uint64_t)4 << 30;
		call.run_ms = 30000;
		call.work_class = 4;
		begin.worker = (char *)"worker-0123";
	}
	e.body_case = KW__ENVELOPE__BODY_CALL;
	e.call = &call;
	bytes = frame_bytes(&e);
	begin.id = call.id;
	e.body_case = KW__ENVELOPE__BODY_BEGIN;
	e.begin = &begin;
	bytes += frame_bytes(&e);
	end.id = call.id;
	end.outcome = KW__OUTCOME__DONE;
	e.body_case = KW__ENVELOPE__BODY_END;
	e.end = &end;
	return bytes + frame_bytes(&e);
}

static void measure_tasks(const char *name, bool omit_job_fields)
{
	for (size_t i = 0; i < G_N_ELEMENTS(message_counts); i++) {
		size_t bytes = 0;

		for (uint32_t k = 0; k < message_counts[i]; k++)
			bytes += task_bytes(k, omit_job_fields);
		bench_print_point(name, "bytes", "tasks", message_counts[i], (double)bytes);
	}
}

/* VoteAsk, VoteReply and VoteFinish of one voter. */
static size_t vote_bytes(uint32_t i)
{
	g_autofree char *key = g_strdup_printf("01936f00-0000-7000-8000-%012u", i);
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Kw__VoteAsk ask = KW__VOTE_ASK__INIT;
	Kw__VoteReply reply = KW__VOTE_REPLY__INIT;
	Kw__VoteFinish finish = KW__VOTE_FINISH__INIT;
	size_t bytes;

	ask.seq = 1000000 + i;
	ask.key = key;
	ask.team = (char *)"team-0123";
	ask.claimant = (char *)"north-a-1";
	ask.claim = 1000000 + i;
	e.body_case = KW__ENVELOPE__BODY_VOTE_ASK;
	e.vote_ask = &ask;
	bytes = frame_bytes(&e);
	reply.seq = ask.seq;
	reply.answer = KW__VOTE_ANSWER__VOTE_GRANTED;
	e.body_case = KW__ENVELOPE__BODY_VOTE_REPLY;
	e.vote_reply = &reply;
	bytes += frame_bytes(&e);
	finish.key = key;
	finish.team = ask.team;
	finish.outcome = KW__OUTCOME__DONE;
	e.body_case = KW__ENVELOPE__BODY_VOTE_FINISH;
	e.vote_finish = &finish;
	return bytes + frame_bytes(&e);
}

static void measure_votes(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(message_counts); i++) {
		size_t bytes = 0;

		for (uint32_t k = 0; k < message_counts[i]; k++)
			bytes += 3 * vote_bytes(k);
		bench_print_point("claim_bytes", "bytes", "keys", message_counts[i], (double)bytes);
	}
}

/* Records that one daemon sends to another, with their data. */
static void measure_peer_records(void)
{
	static uint8_t data[200];

	for (size_t i = 0; i < G_N_ELEMENTS(record_counts); i++) {
		uint32_t n = record_counts[i];
		g_autofree Kw__Record *record = g_new(Kw__Record, n);
		g_autofree Kw__Record **ptrs = g_new(Kw__Record *, n);
		Kw__Envelope e = KW__ENVELOPE__INIT;
		Kw__Records records = KW__RECORDS__INIT;

		for (uint32_t k = 0; k < n; k++) {
			kw__record__init(&record[k]);
			record[k].offset = 100000 + k;
			record[k].data.data = data;
			record[k].data.len = sizeof(data);
			ptrs[k] = &record[k];
		}
		records.stream = (char *)"jobs.north-a";
		records.next = 100000 + n;
		records.n_record = n;
		records.record = ptrs;
		e.body_case = KW__ENVELOPE__BODY_RECORDS;
		e.records = &records;
		bench_print_point("peer_records_bytes", "bytes", "records of 200 bytes", n,
				  (double)frame_bytes(&e));
	}
}

/* A link over loopback with both ends in this thread. */
struct link_pair {
	struct link *sender;
	struct link *receiver;
	struct heartbeat heartbeat;
	uint32_t frames;
	uint32_t received;
};

static void on_message(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size_bytes)
{
	struct link_pair *p = ctx;

	p->received++;
}

static void on_closed(void *ctx, struct link *l, const char *why)
{
	g_error("link closed: %s", why);
}

static GSocketConnection *accept_connection(GSocketListener *listener)
{
	g_autoptr(GError) err = NULL;
	GSocketConnection *conn = g_socket_listener_accept(listener, NULL, NULL, &err);

	if (!conn)
		g_error("%s", err->message);
	return conn;
}

static void link_pair_init(struct link_pair *p)
{
	static const struct link_ops ops = { on_message, on_closed };
	const struct link_conf conf = { .frame_max_bytes = FRAME_MAX_BYTES,
					.queue_max_bytes = FRAME_MAX_BYTES };
	g_autoptr(GSocketListener) listener = g_socket_listener_new();
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) out = NULL;
	g_autoptr(GSocketConnection) in = NULL;
	g_autoptr(GError) err = NULL;
	guint16 port = g_socket_listener_add_any_inet_port(listener, NULL, &err);

	if (port)
		out = g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL, &err);
	if (!out)
		g_error("%s", err->message);
	in = accept_connection(listener);
	*p = (struct link_pair){ 0 };
	p->sender = link_create(out, &conf, &ops, p);
	p->receiver = link_create(in, &conf, &ops, p);
	heartbeat_init(&p->heartbeat, ROOMS_TYPICAL);
}

static void link_pair_clear(struct link_pair *p)
{
	link_destroy(p->sender);
	link_destroy(p->receiver);
	heartbeat_clear(&p->heartbeat);
}

/* One frame at a time, as in an idle cell. */
static void pass_frames(void *ctx)
{
	struct link_pair *p = ctx;

	for (uint32_t i = 0; i < p->frames; i++) {
		uint32_t before = p->received;

		if (!link_send(p->sender, &p->heartbeat.envelope, 0))
			g_error("frame not sent");
		while (p->received == before)
			g_main_context_iteration(NULL, TRUE);
	}
}

static void measure_links(void)
{
	static const uint32_t frames[] = { 250, 500, 1000, 2000 };
	struct link_pair p;

	link_pair_init(&p);
	for (size_t i = 0; i < G_N_ELEMENTS(frames); i++) {
		p.frames = frames[i];
		bench_measure("link_frame", "frames", frames[i], pass_frames, &p);
	}
	link_pair_clear(&p);
}

int main(void)
{
	measure_heartbeats();
	measure_links();
	if (bench_under_callgrind())
		return 0;
	measure_tasks("task_call_bytes", false);
	measure_tasks("lean_task_bytes", true);
	measure_votes();
	measure_peer_records();
	return 0;
}
