#include "platform/storehost.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace snipehill;
using snipehill::support::StoreHost;

namespace
{

constexpr milliseconds timeout{2000};

std::vector<platform::StoreRecord> oneRecord(std::string key, std::string value)
{
    std::vector<platform::StoreRecord> records;
    records.push_back({noOffset, std::move(key), std::move(value)});
    return records;
}

} // namespace

TEST_CASE("Records of a keyed topic are appended and read, both in sequence and as the newest of each key", "[platform]")
{
    StoreHost host;
    platform::StoreClient store(host.endpoint());
    Reason reason;
    CHECK(host.run(store.append("keyed.own", oneRecord("a", "1"), timeout, reason)) == 0);
    CHECK(host.run(store.append("keyed.own", oneRecord("b", "2"), timeout, reason)) == 1);
    CHECK(host.run(store.append("keyed.own", oneRecord("a", std::string("\0\xff", 2)), timeout, reason)) == 2);
    CHECK(host.run(store.append("keyed.own", oneRecord("b", ""), timeout, reason)) == 3);
    const auto newest = host.run(store.readNewest("keyed.own", timeout, reason));
    REQUIRE(newest);
    REQUIRE(newest->records.size() == 1);
    CHECK(newest->records[0].key == "a");
    CHECK(newest->records[0].value == std::string("\0\xff", 2));
    CHECK(newest->next == 4);
    const auto page = host.run(store.read("keyed.own", 1, milliseconds(0), timeout, reason));
    REQUIRE(page);
    REQUIRE(page->records.size() == 3);
    CHECK(page->records[0].offset == 1);
    CHECK(page->records[0].key == "b");
    CHECK(page->records[2].value.empty());
    CHECK(page->next == 4);
}

TEST_CASE("A read waits for a record and reports when the requested ones were deleted", "[platform]")
{
    StoreHost host;
    platform::StoreClient store(host.endpoint());
    Reason reason;
    const auto empty = host.run(store.read("own", 0, milliseconds(30), timeout, reason));
    REQUIRE(empty);
    CHECK(empty->records.empty());
    CHECK(empty->next == 0);
    CHECK(host.run(store.append("own", oneRecord("", "x"), timeout, reason)) == 0);
    CHECK(host.run(store.append("own", oneRecord("", "y"), timeout, reason)) == 1);
    HttpCall trim{.peer = host.endpoint(), .method = boost::beast::http::verb::post, .target = "/api/log-trim?topic=own&part=0&before_offset=1"};
    REQUIRE(host.run(httpCall(trim, reason)));
    const auto page = host.run(store.read("own", 0, milliseconds(0), timeout, reason));
    REQUIRE(page);
    CHECK(page->offsetDeleted);
    CHECK(page->firstRetained == 1);
}

TEST_CASE("The reason distinguishes failures of the store, and the next call succeeds on a new connection", "[platform]")
{
    struct Case
    {
        const char *fault;
        const char *detail;
    };
    const std::vector<Case> cases{{R"({"down": true})", "503"}, {R"({"silent": true})", "receive head"}};
    for (const Case &c : cases) {
        INFO(c.fault);
        StoreHost host;
        platform::StoreClient store(host.endpoint());
        Reason reason;
        host.setFaults(c.fault);
        CHECK(!host.run(store.read("own", 0, milliseconds(0), milliseconds(200), reason)));
        CHECK(reason.step == Step::LogRead);
        CHECK(reason.peer == toString(host.endpoint()));
        CHECK(reason.detail.find(c.detail) != std::string::npos);
        host.setFaults(R"({"down": false, "silent": false})");
        CHECK(host.run(store.read("own", 0, milliseconds(0), timeout, reason)));
    }
}

TEST_CASE("An append whose response is lost fails although it took effect", "[platform]")
{
    StoreHost host;
    platform::StoreClient store(host.endpoint());
    Reason reason;
    host.setFaults(R"({"loseAnswers": 1})");
    CHECK(!host.run(store.append("own", oneRecord("", "x"), timeout, reason)));
    const auto page = host.run(store.read("own", 0, milliseconds(0), timeout, reason));
    REQUIRE(page);
    CHECK(page->records.size() == 1);
}

// Guards against taking records of two lives of the log for one sequence, as offsets are given out again.
TEST_CASE("Reads and appends tell the era after the store came back from an older copy", "[platform][era]")
{
    StoreHost host;
    platform::StoreClient store(host.endpoint());
    Reason reason;
    CHECK(host.run(store.append("own", oneRecord("", "x"), timeout, reason)) == 0);
    const auto before = host.run(store.read("own", 0, milliseconds(0), timeout, reason));
    REQUIRE(before);
    CHECK(store.era() == before->era);
    host.loseRecordsOf(seconds(10));
    // Nothing is at offset 1 any more.
    const auto beyondEnd = host.run(store.read("own", 1, milliseconds(0), timeout, reason));
    REQUIRE(beyondEnd);
    CHECK(beyondEnd->offsetDeleted);
    CHECK(beyondEnd->era == before->era + 1);
    CHECK(host.run(store.append("own", oneRecord("", "y"), timeout, reason)) == 0);
    const auto after = host.run(store.read("own", 0, milliseconds(0), timeout, reason));
    REQUIRE(after);
    REQUIRE(after->records.size() == 1);
    CHECK(after->records[0].value == "y");
    CHECK(after->era == before->era + 1);
    const auto newest = host.run(store.readNewest("keyed.own", timeout, reason));
    REQUIRE(newest);
    CHECK(newest->era == before->era + 1);
}

// Guards against applying a response that a slow connection delivers after the store came back from an older copy.
TEST_CASE("A response of an earlier era fails after one of a later era", "[platform][era]")
{
    StoreHost host;
    platform::StoreClient store(host.endpoint());
    Reason reason;
    host.loseRecordsOf(seconds(10));
    REQUIRE(host.run(store.read("own", 0, milliseconds(0), timeout, reason)));
    const LogEra later = store.era();
    host.setFaults(R"({"eraBehind": 1})");
    CHECK(!host.run(store.read("own", 0, milliseconds(0), timeout, reason)));
    CHECK(reason.detail.find("came after one of era") != std::string::npos);
    CHECK(!host.run(store.append("own", oneRecord("", "x"), timeout, reason)));
    CHECK(store.era() == later);
}

// Guards against keys of other writers that break the call for the next page, so that a process that starts never becomes ready.
TEST_CASE("All pages of the newest records are read, whatever bytes the keys hold", "[platform][pages]")
{
    const std::vector<std::string> keys{"backup of a (0)", "a&after=z", "b#c", "d%20e", "f+g", "h?i=j", "k/l", "\xc3\xa9", "plain", "%", "\"", "q\r\nx: y"};
    for (const int pageItems : {1, 2, 5, 500}) {
        INFO("pages of " << pageItems);
        StoreHost host;
        host.setFaults(R"({"pageItems": )" + std::to_string(pageItems) + "}");
        platform::StoreClient store(host.endpoint());
        Reason reason;
        for (const std::string &key : keys) {
            REQUIRE(host.run(store.append("keyed.own", oneRecord(key, "value of " + key), timeout, reason)));
        }
        const auto newest = host.run(store.readNewest("keyed.own", timeout, reason));
        INFO(reason.detail);
        REQUIRE(newest);
        std::map<std::string, std::string> values;
        for (const platform::StoreRecord &record : newest->records) {
            CHECK(values.emplace(record.key, record.value).second);
        }
        CHECK(values.size() == keys.size());
        for (const std::string &key : keys) {
            CHECK(values[key] == "value of " + key);
        }
    }
}

// Guards against a read that goes on without end, and keeps every record, because each page ends at the same key.
TEST_CASE("Pages of the newest records that do not advance end the read", "[platform][pages]")
{
    StoreHost host;
    platform::StoreClient store(host.endpoint());
    Reason reason;
    for (const char *key : {"a", "b", "c"}) {
        REQUIRE(host.run(store.append("keyed.own", oneRecord(key, "x"), timeout, reason)));
    }
    host.setFaults(R"({"pageItems": 2, "repeatPage": true})");
    CHECK(!host.run(store.readNewest("keyed.own", timeout, reason)));
    CHECK(reason.step == Step::LogRead);
    CHECK(reason.detail.find("do not advance") != std::string::npos);
}
