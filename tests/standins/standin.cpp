#include "standin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>

namespace snipehill::standins
{

namespace asio = boost::asio;

Journal::Journal(std::string standIn, std::string file) : m_standIn(std::move(standIn)), m_file(std::move(file)) { }

void Journal::add(std::string_view event, Json::Value fields)
{
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch());
    fields["t"] = static_cast<double>(now.count()) / 1000.0;
    fields["standIn"] = m_standIn;
    fields["event"] = std::string(event);
    const std::string line = writeJson(fields) + "\n";
    m_lines += line;
    if (!m_file.empty()) {
        std::ofstream(m_file, std::ios::app) << line;
    }
}

const std::string &Journal::lines() const noexcept
{
    return m_lines;
}

void Faults::merge(const Json::Value &changes)
{
    for (const std::string &name : changes.getMemberNames()) {
        if (changes[name].isNull()) {
            m_values.removeMember(name);
        } else {
            m_values[name] = changes[name];
        }
    }
}

const Json::Value *Faults::find(const std::string &scope, const std::string &name) const
{
    const std::string narrow = scope + "." + name;
    if (const Json::Value *value = m_values.find(narrow.data(), narrow.data() + narrow.size())) {
        return value;
    }
    return m_values.find(name.data(), name.data() + name.size());
}

bool Faults::flag(const std::string &scope, const std::string &name) const
{
    const Json::Value *value = find(scope, name);
    return value != nullptr && value->isBool() && value->asBool();
}

std::int64_t Faults::number(const std::string &scope, const std::string &name, std::int64_t defaultValue) const
{
    const Json::Value *value = find(scope, name);
    return value != nullptr && value->isNumeric() ? value->asInt64() : defaultValue;
}

milliseconds Faults::delay(const std::string &scope, const std::string &name) const
{
    return milliseconds(number(scope, name, 0));
}

std::string Faults::text(const std::string &name, std::string defaultValue) const
{
    const Json::Value *value = find("", name);
    return value != nullptr && value->isString() ? value->asString() : std::move(defaultValue);
}

bool Faults::consume(const std::string &scope, const std::string &name)
{
    const std::string narrow = scope + "." + name;
    for (const std::string &candidate : {narrow, name}) {
        const std::int64_t left = m_values.isMember(candidate) ? m_values[candidate].asInt64() : 0;
        if (left > 0) {
            m_values[candidate] = Json::Int64(left - 1);
            return true;
        }
    }
    return false;
}

const Json::Value &Faults::all() const noexcept
{
    return m_values;
}

StandIn::StandIn(std::string standInName, std::string journalFile) : journal(standInName, std::move(journalFile)), name(std::move(standInName)) { }

StandIn::~StandIn() = default;

bool StandIn::control(const std::string & /*path*/, const Json::Value & /*body*/)
{
    return false;
}

asio::awaitable<void> handleControl(StandIn &standIn, HttpExchange &exchange)
{
    const Target target = splitTarget(std::string(exchange.request().target()));
    const bool posted = exchange.request().method() == boost::beast::http::verb::post;
    if (target.path == "/journal") {
        HeaderList headers{{"Content-Type", "application/jsonl"}};
        co_await exchange.respond(200, std::move(headers), standIn.journal.lines());
        co_return;
    }
    const auto body = parseJson(exchange.request().body());
    Json::Value response(Json::objectValue);
    unsigned status = 200;
    if (target.path == "/faults") {
        if (posted && body && body->isObject()) {
            standIn.faults.merge(*body);
        }
        response = standIn.faults.all();
    } else if (!posted || !body || !standIn.control(target.path, *body)) {
        status = 404;
    }
    co_await respondJson(exchange, status, std::move(response));
}

Target splitTarget(std::string_view target)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {std::string(target), {}};
    }
    return {std::string(target.substr(0, mark)), std::string(target.substr(mark + 1))};
}

std::int64_t queryNumber(const Target &target, std::string_view name, std::int64_t defaultValue)
{
    const std::string query = "&" + target.query;
    const std::string wanted = "&" + std::string(name) + "=";
    const std::size_t start = query.find(wanted);
    if (start == std::string::npos) {
        return defaultValue;
    }
    std::int64_t value = defaultValue;
    std::from_chars(query.data() + start + wanted.size(), query.data() + query.size(), value);
    return value;
}

std::optional<Json::Value> parseJson(const std::string &text)
{
    Json::Value value;
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false; // writeJson() would emit comments, which may end a journal line early
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
        return std::nullopt;
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::uint64_t fnv1a64(std::string_view text) noexcept
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    }
    return hash;
}

std::string hex(std::uint64_t value, int digits)
{
    std::string text(static_cast<std::size_t>(digits), '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = "0123456789abcdef"[value % 16];
        value /= 16;
    }
    return text;
}

Json::Value headersOf(const HttpExchange &exchange)
{
    Json::Value headers(Json::objectValue);
    for (const auto &field : exchange.request()) {
        std::string lower(field.name_string());
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
            return std::tolower(letter);
        });
        headers[lower] = std::string(field.value());
    }
    return headers;
}

std::string header(const HttpExchange &exchange, std::string_view name)
{
    return std::string(exchange.request()[boost::beast::string_view(name.data(), name.size())]);
}

asio::awaitable<void> respondJson(HttpExchange &exchange, unsigned status, Json::Value value)
{
    HeaderList headers{{"Content-Type", "application/json"}};
    co_await exchange.respond(status, std::move(headers), writeJson(value));
}

asio::awaitable<void> pause(milliseconds delay)
{
    if (delay.count() > 0) {
        asio::steady_timer timer(co_await asio::this_coro::executor, delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace snipehill::standins
