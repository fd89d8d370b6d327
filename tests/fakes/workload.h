#pragma once

#include "random.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** A request in an open loop: it is sent when due, whether or not earlier ones have finished. */
struct Arrival
{
    double due = 0; //!< seconds
    std::string workspace;
    double weight = 1;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    std::uint64_t fingerprint = 0;
    bool crashes = false;
    std::uint32_t entry = 0; //!< index of the entry that the load balancer chooses
};

/** Traffic of one workspace: a mix of long prompts that contain a document and short ones. */
struct TrafficSettings
{
    std::string workspace = "bureau";
    double weight = 1;
    double requestsPerSecond = 10;
    double from = 0; //!< seconds
    double until = 120;
    double longFraction = 0.4; //!< fraction of requests with a document in the prompt
    std::uint64_t documents = 60; //!< number of documents; lower numbers are used more often
    std::uint64_t documentTokens = 4096;
    std::uint64_t commonTokens = 512; //!< instructions shared by all requests of the workspace
    std::uint64_t longOutput = 180;
    std::uint64_t shortPrompt = 640; //!< commonTokens included
    std::uint64_t shortOutput = 60;
    std::uint32_t entries = 4;
};

constexpr std::uint64_t fakeBlockTokens = 64;

/** Appends the hashes of the blocks of a prompt part that is identified by its seed. */
inline void appendPrefix(std::vector<std::uint64_t> &hashes, std::uint64_t seed, std::uint64_t tokens)
{
    for (std::uint64_t block = 0; block < tokens / fakeBlockTokens; ++block) {
        Random hash{seed + block * 1000003};
        hashes.push_back(hash.next());
    }
}

/** Poisson arrivals of one workspace, ordered by due time. */
inline std::vector<Arrival> makeTraffic(const TrafficSettings &settings, std::uint64_t seed)
{
    Random random{seed};
    std::uint64_t workspaceSeed = 7;
    for (const char c : settings.workspace) {
        workspaceSeed = workspaceSeed * 131 + static_cast<unsigned char>(c);
    }
    std::vector<Arrival> arrivals;
    double due = settings.from;
    while ((due += random.exponential(1 / settings.requestsPerSecond)) < settings.until) {
        Arrival arrival;
        arrival.due = due;
        arrival.workspace = settings.workspace;
        arrival.weight = settings.weight;
        appendPrefix(arrival.prefixHashes, workspaceSeed, settings.commonTokens);
        if (random.uniform() < settings.longFraction) {
            const double skewed = random.uniform() * random.uniform();
            const auto document = static_cast<std::uint64_t>(skewed * static_cast<double>(settings.documents));
            appendPrefix(arrival.prefixHashes, workspaceSeed + 17 + document * 7919, settings.documentTokens);
            arrival.promptTokens = settings.commonTokens + settings.documentTokens + random.between(20, 120);
            arrival.outputTokens = random.between(settings.longOutput / 2, settings.longOutput * 3 / 2);
        } else {
            arrival.promptTokens = settings.shortPrompt + random.between(20, 120);
            arrival.outputTokens = random.between(settings.shortOutput / 2, settings.shortOutput * 3 / 2);
        }
        arrival.fingerprint = random.next();
        arrival.entry = static_cast<std::uint32_t>(random.between(0, settings.entries - 1));
        arrivals.push_back(std::move(arrival));
    }
    return arrivals;
}

/** Merges two lists of arrivals, ordered by due time. */
inline std::vector<Arrival> mergeTraffic(std::vector<Arrival> first, const std::vector<Arrival> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    std::stable_sort(first.begin(), first.end(), [](const Arrival &left, const Arrival &right) {
        return left.due < right.due;
    });
    return first;
}

} // namespace snipehill::fakes
