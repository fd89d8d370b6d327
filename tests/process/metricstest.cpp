#include <process/metrics.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace snipehill;

namespace
{

bool hasLine(const std::string &text, const std::string &line)
{
    return text.find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("series are written in the Prometheus text format", "[metrics]")
{
    Metrics metrics;
    metrics.count(Counter::Requests, {"bureau", "fees", "ok"});
    metrics.count(Counter::Requests, {"bureau", "fees", "ok"});
    metrics.count(Counter::Retries, {"a\"b\\c\nd"});
    metrics.count(Counter::ConfigRecordsRejected);
    metrics.set(Gauge::ConfigVersion, {}, 41);
    metrics.set(Gauge::ConfigVersion, {}, 42);
    metrics.observe(Timing::FirstToken, {"bureau"}, milliseconds(120));
    metrics.observe(Timing::FirstToken, {"bureau"}, milliseconds(1400));
    metrics.observe(Timing::FirstToken, {"bureau"}, std::chrono::minutes(5));
    const std::string text = metrics.text();
    for (const char *line : {
             "# TYPE snipehill_requests_total counter",
             "snipehill_requests_total{workspace=\"bureau\",route=\"fees\",outcome=\"ok\"} 2",
             "snipehill_retries_total{step=\"a\\\"b\\\\c_d\"} 1",
             "snipehill_config_records_rejected_total 1",
             "# TYPE snipehill_config_version gauge",
             "snipehill_config_version 42",
             "# TYPE snipehill_first_token_seconds histogram",
             "snipehill_first_token_seconds_bucket{workspace=\"bureau\",le=\"0.1\"} 0",
             "snipehill_first_token_seconds_bucket{workspace=\"bureau\",le=\"0.15\"} 1",
             "snipehill_first_token_seconds_bucket{workspace=\"bureau\",le=\"1.5\"} 2",
             "snipehill_first_token_seconds_bucket{workspace=\"bureau\",le=\"+Inf\"} 3",
             "snipehill_first_token_seconds_count{workspace=\"bureau\"} 3",
             "snipehill_first_token_seconds_sum{workspace=\"bureau\"} 301.52",
         }) {
        INFO(line << "\nin\n" << text);
        REQUIRE(hasLine(text, line));
    }
}

TEST_CASE("gauges that depend on the time are set before a scrape", "[metrics]")
{
    Metrics metrics;
    int scrapes = 0;
    metrics.onScrape([&scrapes](Metrics &all) {
        all.set(Gauge::ConfigAgeSeconds, {}, ++scrapes);
    });
    REQUIRE(hasLine(metrics.text(), "snipehill_config_age_seconds 1"));
    REQUIRE(hasLine(metrics.text(), "snipehill_config_age_seconds 2"));
}

TEST_CASE("label values beyond the limit are counted under other", "[metrics]")
{
    Metrics metrics;
    constexpr std::size_t extra = 50;
    for (std::size_t i = 0; i < Metrics::maxSeriesPerFamily + extra; ++i) {
        metrics.count(Counter::Retries, {std::to_string(i)});
    }
    REQUIRE(hasLine(metrics.text(), "snipehill_retries_total{step=\"other\"} " + std::to_string(extra)));
}

TEST_CASE("threads count without loss", "[metrics]")
{
    Metrics metrics;
    constexpr int threadCount = 4;
    constexpr int rounds = 5000;
    {
        std::vector<std::jthread> threads;
        threads.reserve(threadCount);
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&metrics] {
                for (int round = 0; round < rounds; ++round) {
                    metrics.count(Counter::Attempts, {round % 2 ? "answered" : "refused"});
                    metrics.observe(Timing::QueueWait, {"a"}, milliseconds(3));
                }
            });
        }
    }
    const std::string text = metrics.text();
    REQUIRE(hasLine(text, "snipehill_attempts_total{result=\"answered\"} " + std::to_string(threadCount * rounds / 2)));
    REQUIRE(hasLine(text, "snipehill_queue_wait_seconds_count{workspace=\"a\"} " + std::to_string(threadCount * rounds)));
}
