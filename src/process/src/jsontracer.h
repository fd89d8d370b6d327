#pragma once

#include <process/traceparent.h>

#include <opentracing/propagation.h>
#include <opentracing/tracer.h>

#include <cstdio>
#include <memory>
#include <mutex>
#include <string>

namespace snipehill
{

/** Appends finished spans to a file or standard output, one JSON object a line. Thread-safe. */
class SpanWriter
{
public:
    using File = std::unique_ptr<std::FILE, int (*)(std::FILE *)>;
    /** Takes ownership of the file and closes it on destruction. */
    SpanWriter(File file, std::string instance);
    void write(const TraceContext &context,
               const std::string &parentSpanId,
               const std::string &name,
               opentracing::SystemTime start,
               opentracing::SteadyClock::duration length,
               const std::vector<std::pair<std::string, opentracing::Value>> &tags);

private:
    std::mutex m_lock;
    File m_file;
    std::string m_instance;
};

/** OpenTracing span context that wraps a TraceContext. Baggage is not supported. */
class JsonSpanContext : public opentracing::SpanContext
{
public:
    explicit JsonSpanContext(TraceContext context);
    const TraceContext &trace() const noexcept;
    void ForeachBaggageItem(std::function<bool(const std::string &key, const std::string &value)> visit) const override;
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
    std::string ToTraceID() const noexcept override;
    std::string ToSpanID() const noexcept override;

private:
    TraceContext m_context;
};

/** Tracer that writes its spans to a SpanWriter; supports only the traceparent header as carrier format. */
class JsonTracer
    : public opentracing::Tracer
    , public std::enable_shared_from_this<JsonTracer>
{
public:
    explicit JsonTracer(std::shared_ptr<SpanWriter> writer);
    std::unique_ptr<opentracing::Span> StartSpanWithOptions(opentracing::string_view name,
                                                            const opentracing::StartSpanOptions &options) const noexcept override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context, std::ostream &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context, const opentracing::TextMapWriter &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context, const opentracing::HTTPHeadersWriter &writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(const opentracing::TextMapReader &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(const opentracing::HTTPHeadersReader &reader) const override;

private:
    std::shared_ptr<SpanWriter> m_writer;
};

} // namespace snipehill
