#include <string.h>

#include "prefixed_stream.h"

typedef struct {
	GFilterInputStream parent;
	GByteArray *prefix; /* what was not read yet */
} PrefixedInput;

typedef struct {
	GFilterInputStreamClass parent;
} PrefixedInputClass;

typedef struct {
	GIOStream parent;
	GIOStream *base;
	GInputStream *input;
} PrefixedStream;

typedef struct {
	GIOStreamClass parent;
} PrefixedStreamClass;

static void prefixed_input_init_pollable(GPollableInputStreamInterface *iface, gpointer data);

static GType prefixed_input_get_type(void);
static GType prefixed_stream_get_type(void);

G_DEFINE_TYPE_WITH_CODE(PrefixedInput, prefixed_input, G_TYPE_FILTER_INPUT_STREAM,
			G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM,
					      prefixed_input_init_pollable))
G_DEFINE_TYPE(PrefixedStream, prefixed_stream, G_TYPE_IO_STREAM)

static GPollableInputStream *base_of(PrefixedInput *p)
{
	return G_POLLABLE_INPUT_STREAM(
		g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(p)));
}

static gssize read_prefix(PrefixedInput *p, void *buf, gsize size)
{
	gsize n = MIN(size, p->prefix->len);

	memcpy(buf, p->prefix->data, n);
	g_byte_array_remove_range(p->prefix, 0, (guint)n);
	return (gssize)n;
}

static gssize prefixed_input_read(GInputStream *in, void *buf, gsize size, GCancellable *cancel,
				  GError **err)
{
	PrefixedInput *p = (PrefixedInput *)in;

	if (p->prefix->len)
		return read_prefix(p, buf, size);
	return g_input_stream_read(G_INPUT_STREAM(base_of(p)), buf, size, cancel, err);
}

static gssize prefixed_input_read_nonblocking(GPollableInputStream *in, void *buf, gsize size,
					      GError **err)
{
	PrefixedInput *p = (PrefixedInput *)in;

	if (p->prefix->len)
		return read_prefix(p, buf, size);
	return g_pollable_input_stream_read_nonblocking(base_of(p), buf, size, NULL, err);
}

static gboolean prefixed_input_is_readable(GPollableInputStream *in)
{
	PrefixedInput *p = (PrefixedInput *)in;

	return p->prefix->len || g_pollable_input_stream_is_readable(base_of(p));
}

static GSource *prefixed_input_create_source(GPollableInputStream *in, GCancellable *cancel)
{
	PrefixedInput *p = (PrefixedInput *)in;
	g_autoptr(GSource) child =
		p->prefix->len ? g_timeout_source_new(0)
			       : g_pollable_input_stream_create_source(base_of(p), NULL);

	return g_pollable_source_new_full(in, child, cancel);
}

static void prefixed_input_init_pollable(GPollableInputStreamInterface *iface, gpointer data)
{
	iface->is_readable = prefixed_input_is_readable;
	iface->create_source = prefixed_input_create_source;
	iface->read_nonblocking = prefixed_input_read_nonblocking;
}

static void prefixed_input_finalize(GObject *obj)
{
	g_byte_array_unref(((PrefixedInput *)obj)->prefix);
	G_OBJECT_CLASS(prefixed_input_parent_class)->finalize(obj);
}

static void prefixed_input_class_init(PrefixedInputClass *class)
{
	G_OBJECT_CLASS(class)->finalize = prefixed_input_finalize;
	G_INPUT_STREAM_CLASS(class)->read_fn = prefixed_input_read;
}

static void prefixed_input_init(PrefixedInput *p)
{
}

static GInputStream *prefixed_stream_get_input(GIOStream *stream)
{
	return ((PrefixedStream *)stream)->input;
}

static GOutputStream *prefixed_stream_get_output(GIOStream *stream)
{
	return g_io_stream_get_output_stream(((PrefixedStream *)stream)->base);
}

static gboolean prefixed_stream_close(GIOStream *stream, GCancellable *cancel, GError **err)
{
	return g_io_stream_close(((PrefixedStream *)stream)->base, cancel, err);
}

static void prefixed_stream_finalize(GObject *obj)
{
	PrefixedStream *s = (PrefixedStream *)obj;

	g_object_unref(s->input);
	g_object_unref(s->base);
	G_OBJECT_CLASS(prefixed_stream_parent_class)->finalize(obj);
}

/* Unlike GIOStream, doesn't close: the base may be in use without the prefix. */
static void prefixed_stream_dispose(GObject *obj)
{
}

static void prefixed_stream_class_init(PrefixedStreamClass *class)
{
	G_OBJECT_CLASS(class)->dispose = prefixed_stream_dispose;
	G_OBJECT_CLASS(class)->finalize = prefixed_stream_finalize;
	G_IO_STREAM_CLASS(class)->get_input_stream = prefixed_stream_get_input;
	G_IO_STREAM_CLASS(class)->get_output_stream = prefixed_stream_get_output;
	G_IO_STREAM_CLASS(class)->close_fn = prefixed_stream_close;
}

static void prefixed_stream_init(PrefixedStream *s)
{
}

GIOStream *prefixed_stream_new(GIOStream *base, GByteArray *prefix)
{
	PrefixedStream *s = g_object_new(prefixed_stream_get_type(), NULL);
	PrefixedInput *in =
		g_object_new(prefixed_input_get_type(), "base-stream",
			     g_io_stream_get_input_stream(base), "close-base-stream", FALSE, NULL);

	in->prefix = g_byte_array_ref(prefix);
	s->base = g_object_ref(base);
	s->input = G_INPUT_STREAM(in);
	return G_IO_STREAM(s);
}
