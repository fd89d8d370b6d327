#include "standin.h"

#include <openssl/evp.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace snipehill::standins
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds waitStep{5};

constexpr std::int64_t defaultPageItems = 500;

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(value >> static_cast<unsigned>(shift));
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), int(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

struct Record
{
    std::string bytes; //!< without the length prefix
    TimePoint appended{};
};

/** Records of a topic with a single partition. */
struct Topic
{
    std::vector<Record> records;
    std::size_t first = 0; //!< offset of the first record that is not trimmed
};

/**
 * The platform's store and usage interface. Store calls: append at an expected offset, read with long poll, latest record of
 * each key, trim. Faults: down (503), silent (no response for 10 minutes), loseAnswers (the next N appends take effect, then
 * the connection closes), lateMs (appends to any topic, or with the topic as scope to that one, get no response and take
 * effect this much later, in whatever life the store then is), pageItems (items of a page of latest records), repeatPage (each page is the first one), eraBehind (responses name the era that was N earlier).
 * POST /copy on the control port brings the store back from an older copy: {"ms": N} drops what was appended within the last
 * N ms, to all topics or to those in the array "topics", and raises the era.
 */
class PlatformStore : public StandIn
{
public:
    using StandIn::StandIn;

    bool control(const std::string &path, const Json::Value &body) override
    {
        if (path != "/copy" || !body["ms"].isInt64()) {
            return false;
        }
        const TimePoint copied = Clock::now() - milliseconds(body["ms"].asInt64());
        std::set<std::string> topics;
        for (const Json::Value &name : body["topics"]) {
            topics.insert(name.asString());
        }
        for (auto &[name, topic] : m_topics) {
            while ((topics.empty() || topics.contains(name)) && !topic.records.empty() && topic.records.back().appended > copied) {
                topic.records.pop_back();
            }
            topic.first = std::min(topic.first, topic.records.size());
        }
        ++m_era;
        Json::Value entry;
        entry["era"] = Json::UInt64(m_era);
        journal.add("copy", entry);
        return true;
    }

    asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        const Target target = splitTarget(std::string(exchange.request().target()));
        Topic &topic = m_topics[queryText(target, "topic")];
        if (faults.flag("", "silent")) {
            co_await pause(milliseconds(600000));
        }
        if (faults.flag("", "down")) {
            co_await respondWithEra(exchange, 503, Json::Value(Json::objectValue));
        } else if (target.path == "/api/log-append") {
            co_await append(exchange, target, topic);
        } else if (target.path == "/api/log-read") {
            co_await read(exchange, target, topic);
        } else if (target.path == "/api/log-newest") {
            co_await newest(exchange, target, topic);
        } else if (target.path == "/api/log-trim") {
            topic.first = std::min(topic.records.size(), static_cast<std::size_t>(queryNumber(target, "before_offset", 0)));
            co_await respondWithEra(exchange, 200, Json::Value(Json::objectValue));
        } else if (target.path == "/usage") {
            co_await usage(exchange);
        } else {
            co_await respondJson(exchange, 404, Json::Value(Json::objectValue));
        }
    }

private:
    HeaderList eraHeaders() const
    {
        return {{"Store-Era", std::to_string(m_era - static_cast<std::uint64_t>(faults.number("", "eraBehind", 0)))}};
    }

    asio::awaitable<void> respondWithEra(HttpExchange &exchange, unsigned status, Json::Value value)
    {
        HeaderList headers = eraHeaders();
        headers.emplace_back("Content-Type", "application/json");
        co_await exchange.respond(status, std::move(headers), writeJson(value));
    }

    asio::awaitable<void> usage(HttpExchange &exchange)
    {
        Json::Value entry;
        entry["headers"] = headersOf(exchange);
        entry["report"] = parseJson(exchange.request().body()).value_or(Json::Value());
        journal.add("usage", entry);
        co_await respondJson(exchange, 200, Json::Value(Json::objectValue));
    }

    static std::string queryText(const Target &target, std::string_view name)
    {
        const std::string key = std::string(name) + "=";
        const auto at = target.query.find(key);
        if (at == std::string::npos) {
            return {};
        }
        const auto start = at + key.size();
        return target.query.substr(start, target.query.find('&', start) - start);
    }

    asio::awaitable<void> append(HttpExchange &exchange, const Target &target, Topic &topic)
    {
        Json::Value response;
        const milliseconds late = faults.delay(queryText(target, "topic"), "lateMs");
        co_await pause(late);
        const std::int64_t at = queryNumber(target, "at", -1);
        if (late > milliseconds(0) && at >= 0 && at != static_cast<std::int64_t>(topic.records.size())) {
            exchange.abort();
            co_return;
        }
        if (at >= 0 && at != static_cast<std::int64_t>(topic.records.size())) {
            response["end_offset"] = Json::UInt64(topic.records.size());
            co_await respondWithEra(exchange, 412, std::move(response));
            co_return;
        }
        response["offset"] = Json::UInt64(topic.records.size());
        const std::string &body = exchange.request().body();
        for (std::size_t start = 0; start + 4 <= body.size();) {
            std::size_t size = 0;
            for (std::size_t i = 0; i < 4; ++i) {
                size = size << 8U | static_cast<unsigned char>(body[start + i]);
            }
            topic.records.push_back({body.substr(start + 4, size), Clock::now()});
            start += 4 + size;
        }
        response["end_offset"] = Json::UInt64(topic.records.size());
        if (late > milliseconds(0) || faults.consume("", "loseAnswers")) {
            exchange.abort();
            co_return;
        }
        co_await respondWithEra(exchange, 200, std::move(response));
    }

    asio::awaitable<void> read(HttpExchange &exchange, const Target &target, Topic &topic)
    {
        const auto from = static_cast<std::size_t>(queryNumber(target, "from", 0));
        milliseconds left(queryNumber(target, "wait_ms", 0));
        while (from == topic.records.size() && left > milliseconds(0) && !exchange.isDisconnected()) {
            co_await pause(waitStep);
            left -= waitStep;
        }
        if (from < topic.first || from > topic.records.size()) {
            Json::Value response;
            response["first_offset"] = Json::UInt64(topic.first);
            co_await respondWithEra(exchange, 410, std::move(response));
            co_return;
        }
        std::string body = bigEndian(topic.records.size(), 8) + bigEndian(topic.first, 8);
        for (std::size_t i = from; i < topic.records.size(); ++i) {
            body += bigEndian(topic.records[i].bytes.size(), 4) + topic.records[i].bytes;
        }
        co_await exchange.respond(200, eraHeaders(), std::move(body));
    }

    asio::awaitable<void> newest(HttpExchange &exchange, const Target &target, const Topic &topic)
    {
        const std::string after = faults.flag("", "repeatPage") ? std::string() : percentDecoded(queryText(target, "after"));
        const auto pageItems = static_cast<Json::ArrayIndex>(faults.number("", "pageItems", defaultPageItems));
        std::map<std::string, std::pair<std::size_t, std::string>> values;
        for (std::size_t i = 0; i < topic.records.size(); ++i) {
            const std::string &record = topic.records[i].bytes;
            const std::size_t length = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
            const std::string key = record.substr(std::min<std::size_t>(1, record.size()), length);
            const std::string value = record.size() > 1 + length ? record.substr(1 + length) : std::string();
            if (value.empty()) {
                values.erase(key);
            } else {
                values[key] = {i, value};
            }
        }
        Json::Value response;
        response["items"] = Json::Value(Json::arrayValue);
        response["has_more"] = false;
        for (const auto &[key, entry] : values) {
            if (!after.empty() && key <= after) {
                continue;
            }
            if (response["items"].size() == pageItems) {
                response["has_more"] = true;
                break;
            }
            Json::Value item;
            item["key"] = key;
            item["value"] = base64(entry.second);
            item["offset"] = Json::UInt64(entry.first);
            response["items"].append(std::move(item));
        }
        response["end_offset"] = Json::UInt64(topic.records.size());
        co_await respondWithEra(exchange, 200, std::move(response));
    }

    std::map<std::string, Topic> m_topics;
    std::uint64_t m_era = 1;
};

} // namespace

std::unique_ptr<StandIn> makePlatformStore(std::string name, std::string journalFile)
{
    return std::make_unique<PlatformStore>(std::move(name), std::move(journalFile));
}

} // namespace snipehill::standins
