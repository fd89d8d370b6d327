#include <core/jsontext.h>

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace snipehill
{

std::string writeJsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::optional<Json::Value> parseJsonText(const std::string &text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
        return std::nullopt;
    }
    return value;
}

} // namespace snipehill
