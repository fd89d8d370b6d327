#include "spantree.h"

#include <version/jsonfields.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <map>
#include <set>

namespace snipehill
{

namespace
{

std::string textOf(const Json::Value &value)
{
    return value.isString() ? value.asString() : writeJson(value);
}

bool isSpan(const Json::Value &value)
{
    return value.isObject() && value["traceId"].isString() && value["spanId"].isString() && value["parentSpanId"].isString() && value["name"].isString()
        && value["startUs"].isInt64() && value["durationUs"].isInt64() && (value["tags"].isNull() || value["tags"].isObject());
}

SpanRecord spanFrom(const Json::Value &value)
{
    SpanRecord span{value["traceId"].asString(), value["spanId"].asString(), value["parentSpanId"].asString(), value["name"].asString()};
    span.instance = value["instance"].isString() ? value["instance"].asString() : "";
    span.startUs = value["startUs"].asInt64();
    span.durationUs = value["durationUs"].asInt64();
    const Json::Value &tags = value["tags"];
    for (const std::string &name : tags.getMemberNames()) {
        if (name == "requestId") {
            span.requestId = textOf(tags[name]);
        } else {
            span.tags.append(" ").append(name).append("=").append(textOf(tags[name]));
        }
    }
    return span;
}

using Children = std::multimap<std::string, const SpanRecord *>;

std::string renderSpan(const SpanRecord &span, const std::string &indent, std::int64_t origin)
{
    std::array<char, 64> times{};
    std::snprintf(
        times.data(), times.size(), "%9.3f ms %+10.3f ms  ", static_cast<double>(span.durationUs) / 1000, static_cast<double>(span.startUs - origin) / 1000);
    return times.data() + indent + span.name + " @" + span.instance + span.tags + "\n";
}

/** Renders the descendants of a span. Each span is rendered only once, so cycles in a damaged file don't cause infinite recursion. */
void renderChildren(const Children &children,
                    const std::string &parent,
                    const std::string &indent,
                    std::int64_t origin,
                    std::set<const SpanRecord *> &rendered,
                    std::string &text)
{
    std::vector<const SpanRecord *> siblings;
    for (auto [at, end] = children.equal_range(parent); at != end; ++at) {
        if (rendered.insert(at->second).second) {
            siblings.push_back(at->second);
        }
    }
    std::stable_sort(siblings.begin(), siblings.end(), [](const SpanRecord *a, const SpanRecord *b) {
        return a->startUs < b->startUs;
    });
    for (const SpanRecord *span : siblings) {
        const bool last = span == siblings.back();
        text += renderSpan(*span, indent + (last ? "`- " : "|- "), origin);
        renderChildren(children, span->spanId, indent + (last ? "   " : "|  "), origin, rendered, text);
    }
}

std::string renderTrace(const std::vector<const SpanRecord *> &spans)
{
    std::set<std::string> ids;
    std::int64_t origin = spans.front()->startUs;
    for (const SpanRecord *span : spans) {
        ids.insert(span->spanId);
        origin = std::min(origin, span->startUs);
    }
    Children children;
    for (const SpanRecord *span : spans) {
        // Spans whose parent is not in the files, such as a span of the caller, become roots.
        children.emplace(ids.contains(span->parentSpanId) ? span->parentSpanId : "", span);
    }
    std::string text = "trace " + spans.front()->traceId + "\n  duration        start\n";
    std::set<const SpanRecord *> rendered;
    renderChildren(children, "", "", origin, rendered, text);
    return text;
}

} // namespace

void readSpans(std::istream &input, std::vector<SpanRecord> &spans)
{
    std::string line;
    while (std::getline(input, line)) {
        Reason ignored;
        const auto value = parseJson(line, ignored);
        if (value && isSpan(*value)) {
            spans.push_back(spanFrom(*value));
        }
    }
}

std::string renderRequestTraces(const std::vector<SpanRecord> &spans, const std::string &requestId)
{
    std::set<std::string> traceIds;
    for (const SpanRecord &span : spans) {
        if (span.requestId == requestId) {
            traceIds.insert(span.traceId);
        }
    }
    std::map<std::string, std::vector<const SpanRecord *>> traces;
    for (const SpanRecord &span : spans) {
        if (traceIds.contains(span.traceId) && (span.requestId.empty() || span.requestId == requestId)) {
            traces[span.traceId].push_back(&span);
        }
    }
    std::string text;
    for (const auto &[traceId, members] : traces) {
        text += renderTrace(members);
    }
    return text;
}

} // namespace snipehill
