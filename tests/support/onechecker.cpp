#include "onechecker.h"

#include <fmt/format.h>

#include <algorithm>

namespace snipehill::support
{

namespace
{

/** A call for a duty, or an order to a target. */
struct HolderCall
{
    double time = 0; //!< ms on the journal's clock
    std::string holder;
    std::int64_t fencingToken = -1;
};

/** Judges the calls for one subject, in order of arrival. */
class OneSubject
{
public:
    OneSubject(std::string name, milliseconds leaseTimeout) : m_name(std::move(name)), m_leaseTimeout(static_cast<double>(leaseTimeout.count())) { }

    void add(const HolderCall &call, Violations &violations)
    {
        const auto &owner = m_holders.try_emplace(call.fencingToken, call.holder).first->second;
        if (owner != call.holder) {
            violations.push_back(fmt::format("{}: token {} of {} used by {} at {:.0f}", m_name, call.fencingToken, owner, call.holder, call.time));
        }
        if (call.fencingToken < m_highest) {
            violations.push_back(fmt::format("{}: token {} of {} after {} at {:.0f}", m_name, call.fencingToken, call.holder, m_highest, call.time));
        }
        m_highest = std::max(m_highest, call.fencingToken);
        const auto before = m_lastCalls.find(call.holder);
        if (before != m_lastCalls.end() && m_lastHolder != call.holder && call.time - before->second < m_leaseTimeout) {
            violations.push_back(fmt::format(
                "{}: {}, {}, {} within {:.0f} ms, at {:.0f}", m_name, call.holder, m_lastHolder, call.holder, call.time - before->second, call.time));
        }
        m_lastHolder = call.holder;
        m_lastCalls[call.holder] = call.time;
    }

private:
    std::string m_name;
    double m_leaseTimeout; //!< ms
    std::map<std::int64_t, std::string> m_holders; //!< by fencing token
    std::map<std::string, double> m_lastCalls; //!< time by holder
    std::string m_lastHolder;
    std::int64_t m_highest = -1;
};

/** Fencing token from a header; a call without one is lower than any other. */
std::int64_t tokenOf(const Json::Value &header)
{
    const std::string text = header.asString();
    const bool isNumber = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char digit) {
        return std::isdigit(digit) != 0;
    });
    return isNumber ? std::stoll(text) : -1;
}

} // namespace

Violations usageFromOneHolder(const Journal &journal, milliseconds leaseTimeout)
{
    Violations violations;
    OneSubject subject("usage", leaseTimeout);
    std::map<std::int64_t, Json::Value> countsOfWindows;
    for (const Json::Value &event : eventsOf(journal, "usage")) {
        const std::int64_t window = event["report"]["window_id"].asInt64();
        const Json::Value &counts = event["report"]["counts"];
        const Json::Value &headers = event["headers"];
        const Json::Value &first = countsOfWindows.try_emplace(window, counts).first->second;
        if (first != counts) {
            violations.push_back(
                fmt::format("window {} reported with {} and, by {}, with {}", window, writeJson(first), headers["duty-holder"].asString(), writeJson(counts)));
        }
        subject.add({event["t"].asDouble(), headers["duty-holder"].asString(), tokenOf(headers["fencing-token"])}, violations);
    }
    return violations;
}

Violations ordersFromOneHolder(const Journal &journal, milliseconds leaseTimeout)
{
    Violations violations;
    std::map<std::string, OneSubject> targets;
    for (const Json::Value &event : eventsOf(journal, "order")) {
        const std::string target = event["standIn"].asString();
        const auto order = parseJson(event["body"].asString());
        if (!order || !order->isObject()) {
            violations.push_back("unreadable order to " + target + ": " + event["body"].asString());
            continue;
        }
        targets.try_emplace(target, "orders to " + target, leaseTimeout)
            .first->second.add({event["t"].asDouble(), (*order)["holder"].asString(), (*order)["fence"].asInt64()}, violations);
    }
    return violations;
}

Violations oneHolder(const Journal &journal, milliseconds leaseTimeout)
{
    Violations violations = usageFromOneHolder(journal, leaseTimeout);
    const Violations orders = ordersFromOneHolder(journal, leaseTimeout);
    violations.insert(violations.end(), orders.begin(), orders.end());
    return violations;
}

} // namespace snipehill::support
