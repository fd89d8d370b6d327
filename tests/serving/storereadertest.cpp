#include "platform/storehost.h"

#include <serving/src/storereader.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace snipehill;
using snipehill::support::StoreHost;

namespace
{

constexpr milliseconds callTimeout{2000};
constexpr const char *topic = "keyed.own";

void write(StoreHost &host, platform::StoreClient &store, const std::string &key)
{
    std::vector<platform::StoreRecord> records;
    records.push_back({noOffset, key, "x"});
    Reason reason;
    const auto offset = host.run(store.append(topic, std::move(records), callTimeout, reason));
    REQUIRE(offset);
}

ReaderPage read(StoreHost &host, StoreReader &reader, platform::StoreClient &store, milliseconds wait = milliseconds(0))
{
    Reason reason;
    auto page = host.run(readNextPage(reader, store, wait, callTimeout, reason));
    INFO(reason.detail);
    REQUIRE(page);
    return std::move(*page);
}

std::vector<std::string> keysOf(const ReaderPage &page)
{
    std::vector<std::string> keys;
    for (const platform::StoreRecord &record : page.page.records) {
        keys.push_back(record.key);
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

} // namespace

// Guards against records of two eras in one sequence: what was written below the reader's offset would be missing.
TEST_CASE("The first page that a reader gets of a new era is a snapshot", "[era][direct]")
{
    struct Case
    {
        const char *what;
        bool seenElsewhere; //!< another call of the process shows the era first
        int later; //!< records written after the return; the reader's offset is 2
    };
    for (const Case &c : {Case{"offsets end below the reader's", false, 1},
                          Case{"offsets end at the reader's", false, 2},
                          Case{"offsets have grown past the reader's", false, 4},
                          Case{"grown past, seen by another call", true, 4},
                          Case{"at the reader's, seen by another call", true, 2},
                          Case{"below, seen by another call", true, 1}}) {
        INFO(c.what);
        StoreHost host;
        platform::StoreClient store(host.endpoint());
        platform::StoreClient writer(host.endpoint());
        StoreReader reader{.topic = topic};
        write(host, writer, "lost 1");
        CHECK(read(host, reader, store).isSnapshot);
        write(host, writer, "lost 2");
        const ReaderPage before = read(host, reader, store);
        CHECK(!before.isSnapshot);
        CHECK(keysOf(before) == std::vector<std::string>{"lost 2"});
        host.loseRecordsOf(seconds(10));
        std::vector<std::string> written;
        for (int record = 0; record < c.later; ++record) {
            written.push_back("new " + std::to_string(record));
            write(host, writer, written.back());
        }
        if (c.seenElsewhere) {
            Reason reason;
            REQUIRE(host.run(store.readNewest("keyed.other", callTimeout, reason)));
        }
        CHECK(isBehindEra(reader, store) == c.seenElsewhere);
        const milliseconds wait{1500};
        const TimePoint started = Clock::now();
        const ReaderPage after = read(host, reader, store, wait);
        CHECK((!c.seenElsewhere || Clock::now() - started < wait));
        CHECK(after.isSnapshot);
        CHECK(after.afterOlderCopy);
        CHECK(after.eraBefore == before.page.era);
        CHECK(after.page.era == before.page.era + 1);
        CHECK(after.offsetBefore == 2);
        CHECK(keysOf(after) == written);
        CHECK(!isBehindEra(reader, store));
        write(host, writer, "next");
        const ReaderPage next = read(host, reader, store);
        CHECK(!next.isSnapshot);
        CHECK(keysOf(next) == std::vector<std::string>{"next"});
    }
}

// Guards against taking deleted records for a return from an older copy, after which old entries count less.
TEST_CASE("A reader whose next record was deleted reads a snapshot of the same era", "[direct]")
{
    StoreHost host;
    platform::StoreClient store(host.endpoint());
    platform::StoreClient writer(host.endpoint());
    StoreReader reader{.topic = topic};
    write(host, writer, "a");
    read(host, reader, store);
    for (const char *key : {"b", "c"}) {
        write(host, writer, key);
    }
    Reason reason;
    HttpCall trim{
        .peer = host.endpoint(), .method = boost::beast::http::verb::post, .target = "/api/log-trim?topic=" + std::string(topic) + "&part=0&before_offset=2"};
    REQUIRE(host.run(httpCall(trim, reason)));
    const ReaderPage page = read(host, reader, store);
    CHECK(page.isSnapshot);
    CHECK(!page.afterOlderCopy);
    CHECK(page.page.records.size() == 3);
}
