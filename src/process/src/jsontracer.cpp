#include "jsontracer.h"

#include <json/value.h>
#include <json/writer.h>

#include <istream>
#include <ostream>

namespace snipehill
{

namespace
{

constexpr const char *headerName = "traceparent";

std::int64_t microseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

/** JSON value of a tag; null for types that the system does not use. */
Json::Value tagValue(const opentracing::Value &value)
{
    if (value.is<std::string>()) {
        return value.get<std::string>();
    }
    if (value.is<const char *>()) {
        return value.get<const char *>();
    }
    if (value.is<std::int64_t>()) {
        return Json::Int64(value.get<std::int64_t>());
    }
    if (value.is<std::uint64_t>()) {
        return Json::UInt64(value.get<std::uint64_t>());
    }
    if (value.is<double>()) {
        return value.get<double>();
    }
    return value.is<bool>() ? Json::Value(value.get<bool>()) : Json::Value();
}

class JsonSpan : public opentracing::Span
{
public:
    JsonSpan(std::shared_ptr<const JsonTracer> tracer, std::shared_ptr<SpanWriter> writer, TraceContext context, std::string parentSpanId, std::string name)
        : m_tracer(std::move(tracer))
        , m_writer(std::move(writer))
        , m_context(std::move(context))
        , m_parentSpanId(std::move(parentSpanId))
        , m_name(std::move(name))
    {
    }

    ~JsonSpan() override
    {
        Finish();
    }

    void FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept override
    {
        if (!m_finished && m_context.trace().sampled) {
            m_writer->write(m_context.trace(), m_parentSpanId, m_name, m_start, options.finish_steady_timestamp - m_startSteady, m_tags);
        }
        m_finished = true;
    }

    void SetOperationName(opentracing::string_view name) noexcept override
    {
        m_name = std::string(name);
    }

    void SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept override
    {
        m_tags.emplace_back(std::string(key), value);
    }

    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override { }

    std::string BaggageItem(opentracing::string_view) const noexcept override
    {
        return {};
    }

    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept override { }

    void Log(opentracing::SystemTime, std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept override { }

    void Log(opentracing::SystemTime, const std::vector<std::pair<opentracing::string_view, opentracing::Value>> &) noexcept override { }

    const opentracing::SpanContext &context() const noexcept override
    {
        return m_context;
    }

    const opentracing::Tracer &tracer() const noexcept override
    {
        return *m_tracer;
    }

private:
    std::shared_ptr<const JsonTracer> m_tracer;
    std::shared_ptr<SpanWriter> m_writer;
    JsonSpanContext m_context;
    std::string m_parentSpanId;
    std::string m_name;
    opentracing::SystemTime m_start = opentracing::SystemClock::now();
    opentracing::SteadyTime m_startSteady = opentracing::SteadyClock::now();
    std::vector<std::pair<std::string, opentracing::Value>> m_tags;
    bool m_finished = false;
};

std::string headerOf(const opentracing::SpanContext &context)
{
    const auto *ours = dynamic_cast<const JsonSpanContext *>(&context);
    return ours ? formatTraceparent(ours->trace()) : std::string();
}

std::unique_ptr<opentracing::SpanContext> contextFrom(std::string_view header)
{
    const auto context = parseTraceparent(header);
    return context ? std::make_unique<JsonSpanContext>(*context) : nullptr;
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> extractFromMap(const opentracing::TextMapReader &reader)
{
    std::unique_ptr<opentracing::SpanContext> context;
    const auto read = reader.ForeachKey([&](opentracing::string_view key, opentracing::string_view value) -> opentracing::expected<void> {
        if (std::string(key) == headerName) {
            context = contextFrom({value.data(), value.size()});
        }
        return {};
    });
    if (!read) {
        return opentracing::make_unexpected(read.error());
    }
    return context;
}

} // namespace

SpanWriter::SpanWriter(File file, std::string instance) : m_file(std::move(file)), m_instance(std::move(instance)) { }

void SpanWriter::write(const TraceContext &context,
                       const std::string &parentSpanId,
                       const std::string &name,
                       opentracing::SystemTime start,
                       opentracing::SteadyClock::duration length,
                       const std::vector<std::pair<std::string, opentracing::Value>> &tags)
{
    Json::Value line;
    line["traceId"] = context.traceId;
    line["spanId"] = context.spanId;
    line["parentSpanId"] = parentSpanId;
    line["name"] = name;
    line["instance"] = m_instance;
    line["startUs"] = Json::Int64(microseconds(start.time_since_epoch()));
    line["durationUs"] = Json::Int64(microseconds(length));
    for (const auto &[key, value] : tags) {
        line["tags"][key] = tagValue(value);
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    const std::string text = Json::writeString(builder, line) + "\n";
    const std::lock_guard guard(m_lock);
    std::fwrite(text.data(), 1, text.size(), m_file.get());
    std::fflush(m_file.get());
}

JsonSpanContext::JsonSpanContext(TraceContext context) : m_context(std::move(context)) { }

const TraceContext &JsonSpanContext::trace() const noexcept
{
    return m_context;
}

void JsonSpanContext::ForeachBaggageItem(std::function<bool(const std::string &, const std::string &)>) const { }

std::unique_ptr<opentracing::SpanContext> JsonSpanContext::Clone() const noexcept
{
    return std::make_unique<JsonSpanContext>(m_context);
}

std::string JsonSpanContext::ToTraceID() const noexcept
{
    return m_context.traceId;
}

std::string JsonSpanContext::ToSpanID() const noexcept
{
    return m_context.spanId;
}

JsonTracer::JsonTracer(std::shared_ptr<SpanWriter> writer) : m_writer(std::move(writer)) { }

std::unique_ptr<opentracing::Span> JsonTracer::StartSpanWithOptions(opentracing::string_view name, const opentracing::StartSpanOptions &options) const noexcept
{
    const JsonSpanContext *parent = nullptr;
    for (const auto &[type, context] : options.references) {
        parent = dynamic_cast<const JsonSpanContext *>(context);
    }
    const TraceContext context = parent ? newChild(parent->trace()) : newTrace();
    auto span = std::make_unique<JsonSpan>(shared_from_this(), m_writer, context, parent ? parent->trace().spanId : "", std::string(name));
    for (const auto &[key, value] : options.tags) {
        span->SetTag(key, value);
    }
    return span;
}

opentracing::expected<void> JsonTracer::Inject(const opentracing::SpanContext &context, std::ostream &writer) const
{
    writer << headerOf(context);
    return {};
}

opentracing::expected<void> JsonTracer::Inject(const opentracing::SpanContext &context, const opentracing::TextMapWriter &writer) const
{
    return writer.Set(headerName, headerOf(context));
}

opentracing::expected<void> JsonTracer::Inject(const opentracing::SpanContext &context, const opentracing::HTTPHeadersWriter &writer) const
{
    return writer.Set(headerName, headerOf(context));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(std::istream &reader) const
{
    std::string header;
    reader >> header;
    return contextFrom(header);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(const opentracing::TextMapReader &reader) const
{
    return extractFromMap(reader);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(const opentracing::HTTPHeadersReader &reader) const
{
    return extractFromMap(reader);
}

} // namespace snipehill
