#include <process/tracing.h>

#include "jsontracer.h"

namespace snipehill
{

namespace
{

/** Null if tracing is disabled. */
std::shared_ptr<opentracing::Tracer> &tracer()
{
    static std::shared_ptr<opentracing::Tracer> instance;
    return instance;
}

int leaveOpen(std::FILE *)
{
    return 0;
}

} // namespace

struct Span::Recording
{
    std::unique_ptr<opentracing::Span> span;
};

Span::Span() = default;
Span::~Span() = default;
Span::Span(Span &&) noexcept = default;
Span &Span::operator=(Span &&) noexcept = default;

const std::string &Span::traceparent() const noexcept
{
    return m_traceparent;
}

void Span::setTag(std::string_view name, std::string_view value)
{
    if (m_recording) {
        m_recording->span->SetTag({name.data(), name.size()}, std::string(value));
    }
}

void Span::setTag(std::string_view name, std::int64_t value)
{
    if (m_recording) {
        m_recording->span->SetTag({name.data(), name.size()}, value);
    }
}

void Span::setError(const Reason &reason)
{
    setTag("error.step", toString(reason.step));
    setTag("error.peer", reason.peer);
    setTag("error.detail", reason.detail);
}

void Span::finish()
{
    m_recording.reset();
}

bool startTracing(const TracesSettings &settings, const std::string &instance, Reason &reason)
{
    if (!settings.enabled) {
        return true;
    }
    SpanWriter::File file(stdout, leaveOpen);
    if (!settings.file.empty()) {
        file = SpanWriter::File(std::fopen(settings.file.c_str(), "ae"), std::fclose);
    }
    if (!file) {
        reason = {Step::Settings, "", "traces.file: " + settings.file + " can't be opened"};
        return false;
    }
    tracer() = std::make_shared<JsonTracer>(std::make_shared<SpanWriter>(std::move(file), instance));
    return true;
}

Span startSpan(std::string_view name, std::string_view parent)
{
    Span span;
    const auto context = parseTraceparent(parent);
    if (!tracer()) {
        span.m_traceparent = formatTraceparent(context ? *context : newTrace());
        return span;
    }
    std::unique_ptr<opentracing::Span> recorded;
    if (context) {
        const JsonSpanContext parentContext(*context);
        recorded = tracer()->StartSpan({name.data(), name.size()}, {opentracing::ChildOf(&parentContext)});
    } else {
        recorded = tracer()->StartSpan({name.data(), name.size()});
    }
    span.m_traceparent = formatTraceparent(static_cast<const JsonSpanContext &>(recorded->context()).trace());
    span.m_recording = std::make_unique<Span::Recording>(Span::Recording{std::move(recorded)});
    return span;
}

} // namespace snipehill
