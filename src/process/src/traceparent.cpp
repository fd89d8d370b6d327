#include <process/traceparent.h>

#include <core/ids.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace snipehill
{

namespace
{

constexpr std::size_t versionDigits = 2;
constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t headerLength = 55;

bool isHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

bool isZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

std::string hex(std::uint64_t number)
{
    std::array<char, spanIdDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

/** An all-zero id is not valid. */
std::string randomSpanId()
{
    return hex(std::max<std::uint64_t>(randomId(), 1));
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    if (text.size() < headerLength || text[2] != '-' || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    const std::string_view version = text.substr(0, versionDigits);
    const std::string_view traceId = text.substr(3, traceIdDigits);
    const std::string_view spanId = text.substr(36, spanIdDigits);
    const std::string_view flags = text.substr(53, 2);
    if (!isHex(version) || !isHex(traceId) || !isHex(spanId) || !isHex(flags) || version == "ff" || isZero(traceId) || isZero(spanId)) {
        return std::nullopt;
    }
    const bool known = version == "00";
    if (text.size() > headerLength && (known || text[headerLength] != '-')) {
        return std::nullopt;
    }
    const bool sampled = flags[1] >= 'a' ? (flags[1] - 'a') % 2 == 1 : (flags[1] - '0') % 2 == 1;
    return TraceContext{std::string(traceId), std::string(spanId), sampled};
}

std::string formatTraceparent(const TraceContext &context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

TraceContext newTrace()
{
    return {hex(randomId()) + randomSpanId(), randomSpanId(), true};
}

TraceContext newChild(const TraceContext &parent)
{
    return {parent.traceId, randomSpanId(), parent.sampled};
}

} // namespace snipehill
