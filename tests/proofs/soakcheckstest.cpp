#include "soak/soakcheck.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::soak;

namespace
{

const std::string entry = "127.0.0.1:1";

/** A stream that the entry ended 100 ms after it was sent at 1000 ms. */
CallerRecord cutStream()
{
    CallerRecord record;
    record.entry = entry;
    record.call.target = "/ask/x";
    record.call.headers["Attempt-Id"] = "r1";
    record.response.connected = true;
    record.response.status = 200;
    record.response.error = "end of stream";
    record.response.sent = TimePoint(milliseconds(1000));
    record.response.ended = TimePoint(milliseconds(1100));
    return record;
}

CallerRecord closedConnection()
{
    CallerRecord record = cutStream();
    record.response.status = 0;
    return record;
}

} // namespace

// Guards against a soak that passes although requests end without an answer, and against one that blames the faults it injects.
TEST_CASE("The soak's checker for received requests reports those without a complete response", "[soak][checkers]")
{
    struct Case
    {
        const char *what;
        CallerRecord record;
        std::set<std::string> log;
        std::vector<std::string> journal;
        EndingFaults faults;
        bool valid;
    };
    const std::string ran = R"({"event":"run","id":"r1","standIn":"e1"})";
    const std::string broken = R"({"event":"broken","id":"r1","standIn":"e1"})";
    const CheckInterval atEntry{entry, 1050, 1300};
    CallerRecord answered = cutStream();
    answered.response.complete = true;
    CallerRecord refused = answered;
    refused.response.status = 503;
    CallerRecord unconnected = closedConnection();
    unconnected.response.connected = false;
    CallerRecord timedOut = cutStream();
    timedOut.response.ended = TimePoint(milliseconds(6000));
    const std::vector<Case> cases{
        {"answered", answered, {"r1"}, {ran}, {}, true},
        {"refused", refused, {"r1"}, {}, {}, true},
        {"the entry does not listen", unconnected, {}, {}, {}, true},
        {"the timeout of the route has passed", timedOut, {"r1"}, {ran}, {}, true},
        {"the entry was killed", cutStream(), {"r1"}, {ran}, {{atEntry}, {}, {}}, true},
        {"the target was killed", cutStream(), {"r1"}, {ran}, {{}, {}, {{"e1", 1050, 1300}}}, true},
        {"the target broke the stream off", cutStream(), {"r1"}, {ran, broken}, {}, true},
        {"not received by an entry that stops", closedConnection(), {}, {}, {{}, {atEntry}, {}}, true},
        {"stream cut beside no fault", cutStream(), {"r1"}, {ran}, {}, false},
        {"stream cut by an entry that stops", cutStream(), {"r1"}, {ran}, {{}, {atEntry}, {}}, false},
        {"the entry was killed before", cutStream(), {"r1"}, {ran}, {{{entry, 500, 900}}, {}, {}}, false},
        {"another entry was killed", cutStream(), {"r1"}, {ran}, {{{"127.0.0.1:2", 1050, 1300}}, {}, {}}, false},
        {"another target was killed", cutStream(), {"r1"}, {ran}, {{}, {}, {{"e2", 1050, 1300}}}, false},
        {"the target was killed before", cutStream(), {"r1"}, {ran}, {{}, {}, {{"e1", 500, 900}}}, false},
        {"another stream was broken off", cutStream(), {"r1"}, {ran, R"({"event":"broken","id":"r2","standIn":"e1"})"}, {}, false},
        {"a target's failure is answered", closedConnection(), {"r1"}, {ran}, {{}, {}, {{"e1", 1050, 1300}}}, false},
        {"connection closed beside no fault", closedConnection(), {}, {}, {}, false},
        {"received by an entry that stops, by its log", closedConnection(), {"r1"}, {}, {{}, {atEntry}, {}}, false},
        {"received by an entry that stops, as its target ran it", closedConnection(), {}, {ran}, {{}, {atEntry}, {}}, false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        Journal journal;
        for (const std::string &line : c.journal) {
            journal.push_back(support::parseJson(line).value());
        }
        CHECK(receivedRequestsAreAnswered({c.record}, journal, c.log, c.faults, milliseconds(5000)).empty() == c.valid);
    }
}

// Guards against requests that an entry forgets, or ends twice, without the caller noticing.
TEST_CASE("The soak's checker for logs reports requests with other than one final line", "[soak][checkers]")
{
    struct Case
    {
        const char *what;
        std::vector<std::string> lines;
        bool valid;
    };
    const std::string started = R"({"message":"started"})";
    const std::string ended = R"({"message":"ended"})";
    const std::string first = R"({"message":"first event","request":"r1"})";
    const std::string final = R"({"message":"request ended","request":"r1"})";
    const std::string cut = R"({"message":"request cut by the end of the process","request":"r1"})";
    const std::string dropped = R"({"message":"log lines dropped"})";
    const std::vector<Case> cases{
        {"one", {started, first, final}, true},
        {"cut by the end of the process", {started, first, cut, ended}, true},
        {"its process was killed", {started, first, started}, true},
        {"lines were dropped", {started, first, dropped}, true},
        {"none", {started, first}, false},
        {"none when the process ended", {started, first, ended, started}, false},
        {"two", {started, first, final, final}, false},
        {"cut and ended", {started, first, cut, final, ended}, false},
        {"two, though lines were dropped", {started, final, final, dropped}, false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        std::string log;
        for (const std::string &line : c.lines) {
            log += line + "\n";
        }
        CHECK(requestsEndOnceInLog(log).empty() == c.valid);
    }
}

// Guards against a path through an entry on which a request ends without being counted.
TEST_CASE("The soak's checker for metrics reports requests that have not ended", "[soak][checkers]")
{
    struct Case
    {
        const char *what;
        const char *metrics;
        bool valid;
    };
    const std::vector<Case> cases{
        {"even",
         "# TYPE snipehill_requests_received_total counter\nsnipehill_requests_received_total 5\n"
         "snipehill_requests_ended_total{end=\"answered\"} 3\nsnipehill_requests_ended_total{end=\"cut\"} 2\n",
         true},
        {"one has not ended", "snipehill_requests_received_total 5\nsnipehill_requests_ended_total{end=\"answered\"} 4\n", false},
        {"one has ended twice", "snipehill_requests_received_total 5\nsnipehill_requests_ended_total{end=\"answered\"} 6\n", false},
        {"no metrics", "", false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CHECK(requestsAddUpInMetrics(c.metrics).empty() == c.valid);
    }
}

// Guards against a soak that would not see a request to a target that has said that it leaves or wants a pause.
TEST_CASE("The soak's checkers for statements of targets report requests against them", "[soak][checkers]")
{
    struct Case
    {
        const char *what;
        std::vector<std::pair<std::string, double>> events; //!< kind with the caller's request id, and time
        std::vector<CheckInterval> excuses;
        bool leavingValid;
        bool pauseValid;
    };
    // Requests: a and b of one entry, sent at 0 and 2500 ms, c of another entry, sent at 2500 ms; each takes 10 ms.
    const std::vector<Case> cases{
        {"nothing said", {{"run a", 5}, {"run b", 2505}}, {}, true, true},
        {"a request after the drain time", {{"leaving a", 5}, {"run a", 5}, {"run b", 2505}}, {}, false, true},
        {"its prefill", {{"leaving a", 5}, {"run a", 5}, {"read b", 2505}}, {}, false, true},
        {"refused there", {{"leaving a", 5}, {"run a", 5}, {"refused b", 2505}}, {}, false, true},
        {"a request of an entry that was not told", {{"leaving a", 5}, {"run a", 5}, {"run c", 2505}}, {}, true, true},
        {"the next run of the target", {{"leaving a", 5}, {"run a", 5}, {"run b", 9000}}, {}, true, true},
        {"the entry was restarted", {{"leaving a", 5}, {"run a", 5}, {"run b", 2505}}, {{"127.0.0.1:1", 100, 200}}, true, true},
        {"three requests in a pause", {{"refused a", 5}, {"run b", 600}, {"run b", 700}, {"read b", 800}}, {}, true, false},
        {"two requests in a pause", {{"refused a", 5}, {"run b", 600}, {"run b", 700}}, {}, true, true},
        {"at once and after the end", {{"refused a", 5}, {"run b", 300}, {"run b", 400}, {"run b", 1100}, {"run b", 1200}, {"run b", 1300}}, {}, true, true},
        {"of another entry", {{"refused a", 5}, {"run c", 600}, {"run c", 700}, {"run c", 800}}, {}, true, true},
        {"the target was cut off", {{"refused a", 5}, {"run b", 600}, {"run b", 700}, {"run b", 800}}, {{"e1", 0, 50}}, true, true},
    };
    const auto at = [](double ms) {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)));
    };
    std::vector<CallerRecord> records;
    for (const auto &[id, entry, sent] :
         std::vector<std::tuple<std::string, std::string, double>>{{"a", "127.0.0.1:1", 0}, {"b", "127.0.0.1:1", 2500}, {"c", "127.0.0.1:2", 2500}}) {
        CallerRecord record;
        record.entry = entry;
        record.call.headers["Attempt-Id"] = id;
        record.response.sent = at(sent);
        record.response.ended = at(sent + 10);
        record.response.complete = true;
        record.response.status = 200;
        records.push_back(record);
    }
    for (const Case &c : cases) {
        INFO(c.what);
        Journal journal;
        for (const auto &[event, time] : c.events) {
            const auto space = event.find(' ');
            Json::Value line;
            line["event"] = event.substr(0, space);
            line["id"] = event.substr(space + 1);
            line["standIn"] = "e1";
            line["t"] = time;
            line["retryAfter"] = "1";
            journal.push_back(line);
        }
        CHECK(leavingTargetsGetNoWork({{"e1", 0, 8000}}, records, journal, c.excuses, 2000).empty() == c.leavingValid);
        CHECK(pausedTargetsGetNoWork(records, journal, c.excuses).empty() == c.pauseValid);
    }
}

TEST_CASE("The soak's checker for broken responses reports each of them, and no refusal", "[soak][checkers]")
{
    struct Case
    {
        support::Response response;
        bool reported;
    };
    const std::vector<Case> cases{
        {{.complete = true, .status = 200, .body = "ran r1 at p1"}, false},
        {{.complete = true, .status = 502, .body = "{}"}, false},
        {{.complete = false, .status = 0}, false}, // no response
        {{.complete = true, .status = 0}, true},
        {{.complete = true, .status = 600}, true},
        {{.complete = true, .status = 200, .body = brokenResponseMark}, true},
        {{.complete = false, .status = 200, .body = brokenResponseMark}, true},
    };
    for (const Case &c : cases) {
        CallerRecord record = cutStream();
        record.response = c.response;
        INFO(c.response.status << " " << c.response.body);
        CHECK(brokenResponsesReachNoCaller({record}).empty() != c.reported);
    }
}
