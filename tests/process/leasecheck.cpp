#include "leasesimulation.h"

#include <algorithm>
#include <map>
#include <utility>

namespace snipehill::test
{

namespace
{

bool overlap(const ValidPeriod &left, const ValidPeriod &right)
{
    return left.from < right.until && right.from < left.until;
}

bool covers(const ValidPeriod &period, const CallArrival &arrival)
{
    return period.incarnation == arrival.incarnation && period.from <= arrival.at && arrival.at <= period.until;
}

/** Another process must not have held the lease between two calls of one tenure. */
void checkTenures(const std::vector<CallArrival> &calls, const std::vector<ValidPeriod> &periods, std::vector<std::string> &violations)
{
    std::map<std::pair<std::uint64_t, std::uint64_t>, Duration> latestCalls; // by incarnation and tenure
    for (const CallArrival &call : calls) {
        const auto [before, first] = latestCalls.try_emplace({call.incarnation, call.tenure}, call.at);
        const bool interrupted = !first && std::any_of(periods.begin(), periods.end(), [&call, since = before->second](const ValidPeriod &period) {
            return period.incarnation != call.incarnation && since < period.from && period.from < call.at;
        });
        if (interrupted) {
            violations.push_back("tenure interrupted by another: process " + std::to_string(call.process));
        }
        before->second = call.at;
    }
}

} // namespace

std::vector<std::string> checkLease(const LeaseRunHistory &history)
{
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < history.validPeriods.size(); ++i) {
        for (std::size_t j = i + 1; j < history.validPeriods.size(); ++j) {
            const ValidPeriod &left = history.validPeriods[i];
            const ValidPeriod &right = history.validPeriods[j];
            if (left.incarnation != right.incarnation && overlap(left, right)) {
                violations.push_back("two valid leases at the same time: " + std::to_string(left.process) + " and " + std::to_string(right.process));
            }
        }
    }
    for (const CallArrival &arrival : history.callArrivals) {
        const bool covered = std::any_of(history.validPeriods.begin(), history.validPeriods.end(), [&arrival](const ValidPeriod &period) {
            return covers(period, arrival);
        });
        if (!covered) {
            violations.push_back("call of process " + std::to_string(arrival.process) + " outside its valid period");
        }
    }
    return violations;
}

std::vector<std::string> checkTokens(const LeaseRunHistory &history)
{
    std::vector<CallArrival> calls = history.callArrivals;
    std::stable_sort(calls.begin(), calls.end(), [](const CallArrival &left, const CallArrival &right) {
        return left.at < right.at;
    });
    std::vector<std::string> violations;
    const auto violated = [&violations](const char *rule, const CallArrival &call) {
        violations.push_back(std::string(rule) + ": process " + std::to_string(call.process) + ", token " + std::to_string(call.epoch));
    };
    std::map<Offset, std::uint64_t> users;
    std::map<std::uint64_t, CallArrival> latestCalls; // by holder
    Offset highest = noOffset;
    for (const CallArrival &call : calls) {
        if (users.try_emplace(call.epoch, call.incarnation).first->second != call.incarnation) {
            violated("token of two incarnations", call);
        }
        if (call.epoch < highest) {
            violated("token lower than an earlier one", call);
        }
        highest = std::max(highest, call.epoch);
        const std::uint64_t holder = history.kind == LeaseLogKind::Lasting ? call.incarnation : static_cast<std::uint64_t>(call.process);
        const auto before = latestCalls.find(holder);
        const bool returns = before != latestCalls.end() && call.at - before->second.at < simulatedTurnPeriod
            && std::any_of(latestCalls.begin(), latestCalls.end(), [&](const auto &entry) {
                                 return entry.first != holder && entry.second.at > before->second.at;
                             });
        if (returns) {
            violated("holder returned within the turn period", call);
        }
        latestCalls[holder] = call;
    }
    if (history.disagreements > 0) {
        violations.push_back("readers disagree on the latest effective record");
    }
    checkTenures(calls, history.validPeriods, violations);
    return violations;
}

} // namespace snipehill::test
