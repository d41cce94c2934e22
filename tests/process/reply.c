#include <string.h>

#include <json-glib/json-glib.h>

#include "reply.h"

#define READ_BYTES 65536

/* A request in flight. */
struct sending {
	struct reply *reply;
	SoupMessage *msg;
};

static void sending_end(struct sending *s, const GError *error)
{
	if (error)
		g_strlcpy(s->reply->error, error->message, sizeof(s->reply->error));
	s->reply->ended = true;
	g_object_unref(s->msg);
	g_free(s);
}

static void take_bytes(struct reply *r, const char *data, gsize size)
{
	for (gsize i = 0; i < size; i++) {
		int64_t at = r->total_bytes + (int64_t)i;

		if (at < REPLY_HEAD_BYTES)
			r->head[at] = data[i];
		else if (data[i] != 'a' + at % 26)
			r->filler_wrong = true;
	}
	r->total_bytes += (int64_t)size;
}

static void read_problem(struct reply *r)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o;

	if (!json_parser_load_from_data(parser, r->head, -1, NULL))
		return;
	o = json_node_get_object(json_parser_get_root(parser));
	g_strlcpy(r->outcome, json_object_get_string_member_with_default(o, "outcome", ""),
		  sizeof(r->outcome));
}

static void on_read(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) bytes =
		g_input_stream_read_bytes_finish(G_INPUT_STREAM(src), res, &error);
	struct sending *s = data;
	const char *type;

	if (bytes && g_bytes_get_size(bytes) > 0) {
		take_bytes(s->reply, g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
		g_input_stream_read_bytes_async(G_INPUT_STREAM(src), READ_BYTES, G_PRIORITY_DEFAULT,
						NULL, on_read, s);
		return;
	}
	type = soup_message_headers_get_content_type(soup_message_get_response_headers(s->msg),
						     NULL);
	if (type && !strcmp(type, "application/problem+json"))
		read_problem(s->reply);
	sending_end(s, error);
	g_object_unref(src);
}

static void on_response(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) error = NULL;
	GInputStream *in = soup_session_send_finish(SOUP_SESSION(src), res, &error);
	struct sending *s = data;
	SoupMessageHeaders *headers = soup_message_get_response_headers(s->msg);
	const char *retry;

	if (!in) {
		sending_end(s, error);
		return;
	}
	s->reply->status = soup_message_get_status(s->msg);
	if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH)
		s->reply->length_bytes = soup_message_headers_get_content_length(headers);
	retry = soup_message_headers_get_one(headers, "Retry-After");
	if (retry)
		s->reply->retry_after_s = (unsigned int)g_ascii_strtoull(retry, NULL, 10);
	g_input_stream_read_bytes_async(in, READ_BYTES, G_PRIORITY_DEFAULT, NULL, on_read, s);
}

struct reply *reply_send(SoupSession *session, const char *method, const char *url,
			 const char *body, const struct reply_header *headers)
{
	struct sending *s = g_new0(struct sending, 1);
	g_autoptr(GBytes) bytes = body ? g_bytes_new(body, strlen(body)) : NULL;

	s->reply = g_new0(struct reply, 1);
	s->reply->length_bytes = -1;
	s->msg = soup_message_new(method, url);
	if (bytes)
		soup_message_set_request_body_from_bytes(s->msg, "application/json", bytes);
	for (; headers && headers->name; headers++)
		soup_message_headers_replace(soup_message_get_request_headers(s->msg),
					     headers->name, headers->value);
	soup_session_send_async(session, s->msg, G_PRIORITY_DEFAULT, NULL, on_response, s);
	return s->reply;
}

bool reply_is_complete(const struct reply *r, const char *echo, int64_t total_bytes)
{
	const char *line = strchr(r->head, '\n');
	int64_t prefix_bytes = line ? line - r->head + 1 + (int64_t)strlen(echo) : r->total_bytes;
	int64_t want_bytes = total_bytes < 0 ? prefix_bytes : total_bytes;
	bool has_echo = line && g_str_has_prefix(line + 1, echo);

	if (!r->ended || r->error[0] || r->status != 200 || r->filler_wrong)
		return false;
	if (r->total_bytes != want_bytes || (r->length_bytes >= 0 && r->length_bytes != want_bytes))
		return false;
	for (int64_t at = prefix_bytes; at < MIN(r->total_bytes, REPLY_HEAD_BYTES); at++) {
		if (r->head[at] != 'a' + at % 26)
			return false;
	}
	return has_echo || prefix_bytes >= want_bytes;
}

struct reply *reply_send_bytes(SoupSession *session, const char *url, GBytes *body)
{
	struct sending *s = g_new0(struct sending, 1);

	s->reply = g_new0(struct reply, 1);
	s->reply->length_bytes = -1;
	s->msg = soup_message_new("POST", url);
	soup_message_set_request_body_from_bytes(s->msg, "application/octet-stream", body);
	soup_session_send_async(session, s->msg, G_PRIORITY_DEFAULT, NULL, on_response, s);
	return s->reply;
}
