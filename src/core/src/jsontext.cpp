#include <core/jsontext.h>

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace snipehill
{

namespace
{

constexpr int maxDepth = 64; // no message of a sound writer comes near it
constexpr std::string_view numberCharacters = "+-.0123456789eE";
constexpr std::string_view numberStarts = "-0123456789";

Json::CharReaderBuilder makeReader()
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["stackLimit"] = maxDepth + 1;
    return builder;
}

/** Position after the string that begins at the position. */
std::size_t endOfString(std::string_view text, std::size_t start)
{
    for (std::size_t at = start + 1; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return text.size();
}

bool isReadableNumber(std::string_view text)
{
    double value = 0;
    return std::from_chars(text.data(), text.data() + text.size(), value).ec != std::errc::result_out_of_range;
}

/** Position after the string, number or single character that begins at the position. */
std::size_t endOfToken(std::string_view text, std::size_t start)
{
    if (text[start] == '"') {
        return endOfString(text, start);
    }
    return numberStarts.find(text[start]) == std::string_view::npos ? start + 1 : std::min(text.size(), text.find_first_not_of(numberCharacters, start));
}

/** The text with null in place of values that parseJsonText() rejects for their depth or size. */
std::string withoutUnreadableValues(std::string_view text)
{
    std::string readable;
    readable.reserve(text.size());
    int depth = 0;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = endOfToken(text, at);
        std::string_view token = text.substr(at, end - at);
        at = end;
        const bool opens = token == "[" || token == "{";
        const bool closes = token == "]" || token == "}";
        depth += opens ? 1 : 0;
        if (depth > maxDepth) {
            token = opens && depth == maxDepth + 1 ? "null" : "";
        } else if (numberStarts.find(token.front()) != std::string_view::npos && !isReadableNumber(token)) {
            token = "null";
        }
        readable += token;
        depth -= closes && depth > 0 ? 1 : 0;
    }
    return readable;
}

} // namespace

std::string writeJsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::optional<Json::Value> parseJsonText(std::string_view text)
{
    static const Json::CharReaderBuilder builder = makeReader();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return value;
        }
    } catch (const Json::Exception &) { // thrown if the nesting exceeds stackLimit
    }
    return std::nullopt;
}

std::optional<Json::Value> parseJsonParts(std::string_view text)
{
    return parseJsonText(withoutUnreadableValues(text));
}

std::string stringOf(const Json::Value &value)
{
    return value.isString() ? value.asString() : std::string();
}

std::int64_t intOf(const Json::Value &value)
{
    return value.isInt64() ? value.asInt64() : 0;
}

std::uint64_t unsignedOf(const Json::Value &value)
{
    return value.isUInt64() ? value.asUInt64() : 0;
}

} // namespace snipehill
