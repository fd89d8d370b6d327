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

SpanLine spanFrom(const Json::Value &value)
{
    SpanLine span{value["traceId"].asString(), value["spanId"].asString(), value["parentSpanId"].asString(), value["name"].asString()};
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

using Children = std::multimap<std::string, const SpanLine *>;

std::string drawLine(const SpanLine &span, const std::string &indent, std::int64_t origin)
{
    std::array<char, 64> times{};
    std::snprintf(
        times.data(), times.size(), "%9.3f ms %+10.3f ms  ", static_cast<double>(span.durationUs) / 1000, static_cast<double>(span.startUs - origin) / 1000);
    return times.data() + indent + span.name + " @" + span.instance + span.tags + "\n";
}

/** Draws the spans below a parent; each is drawn once, so a damaged file with a cycle ends too. */
void drawChildren(const Children &children,
                  const std::string &parent,
                  const std::string &indent,
                  std::int64_t origin,
                  std::set<const SpanLine *> &drawn,
                  std::string &text)
{
    std::vector<const SpanLine *> below;
    for (auto [at, end] = children.equal_range(parent); at != end; ++at) {
        if (drawn.insert(at->second).second) {
            below.push_back(at->second);
        }
    }
    std::stable_sort(below.begin(), below.end(), [](const SpanLine *a, const SpanLine *b) {
        return a->startUs < b->startUs;
    });
    for (const SpanLine *span : below) {
        const bool last = span == below.back();
        text += drawLine(*span, indent + (last ? "`- " : "|- "), origin);
        drawChildren(children, span->spanId, indent + (last ? "   " : "|  "), origin, drawn, text);
    }
}

std::string drawTrace(const std::vector<const SpanLine *> &spans)
{
    std::set<std::string> ids;
    std::int64_t origin = spans.front()->startUs;
    for (const SpanLine *span : spans) {
        ids.insert(span->spanId);
        origin = std::min(origin, span->startUs);
    }
    Children children;
    for (const SpanLine *span : spans) {
        // A parent outside the files, the caller's for one, makes its children roots.
        children.emplace(ids.contains(span->parentSpanId) ? span->parentSpanId : "", span);
    }
    std::string text = "trace " + spans.front()->traceId + "\n  duration        start\n";
    std::set<const SpanLine *> drawn;
    drawChildren(children, "", "", origin, drawn, text);
    return text;
}

} // namespace

void readSpans(std::istream &input, std::vector<SpanLine> &spans)
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

std::string drawRequest(const std::vector<SpanLine> &spans, const std::string &requestId)
{
    std::set<std::string> traceIds;
    for (const SpanLine &span : spans) {
        if (span.requestId == requestId) {
            traceIds.insert(span.traceId);
        }
    }
    std::map<std::string, std::vector<const SpanLine *>> traces;
    for (const SpanLine &span : spans) {
        if (traceIds.contains(span.traceId) && (span.requestId.empty() || span.requestId == requestId)) {
            traces[span.traceId].push_back(&span);
        }
    }
    std::string text;
    for (const auto &[traceId, members] : traces) {
        text += drawTrace(members);
    }
    return text;
}

} // namespace snipehill
