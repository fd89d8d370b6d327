#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace snipehill::fakes
{

/** Speed and capacity of a fake engine. */
struct FakeEngineSettings
{
    std::uint32_t slots = 16;
    double prefillTokensPerSecond = 8000;
    double stepSeconds = 0.020; //!< fixed cost of a decode step
    double stepSecondsPerStream = 0.001; //!< added to a decode step for each stream
    std::uint64_t chunkTokens = 256; //!< prompt tokens prefilled in one step
    std::uint64_t blockTokens = 64; //!< prompt tokens of one cached block
    std::size_t cacheBlocks = 1500;
};

/** A request on a fake engine. */
struct FakeStream
{
    std::uint64_t id = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    int priority = 0; //!< lower values are prefilled first
    bool crashes = false; //!< crashes the engine when its first token is due
    std::uint64_t prefillLeft = 0; //!< set by the engine
    std::uint64_t generated = 0;
};

/** Result of one engine step. */
struct StepResult
{
    double seconds = 0; //!< duration of the step
    std::vector<std::uint64_t> firstTokens; //!< requests that got their first token
    std::vector<std::uint64_t> finished;
    bool crashed = false;
};

/**
 * Continuous batching in virtual time: each step prefills one chunk of one prompt and generates one token for every
 * stream whose prefill is complete. Prompt blocks are cached with least-recently-used eviction.
 */
struct FakeEngine
{
    FakeEngineSettings settings;
    std::vector<FakeStream> streams;
    std::list<std::uint64_t> cached; //!< most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cachePositions;
    double prefillRate = 0; //!< tokens per second while other streams decode, moving average
    std::uint64_t prefilledTokens = 0; //!< total of the run
    std::uint64_t cachedTokens = 0; //!< prompt tokens served from the cache
};

inline void cacheBlock(FakeEngine &engine, std::uint64_t hash)
{
    const auto known = engine.cachePositions.find(hash);
    if (known != engine.cachePositions.end()) {
        engine.cached.splice(engine.cached.begin(), engine.cached, known->second);
        return;
    }
    if (engine.cached.size() >= engine.settings.cacheBlocks) {
        engine.cachePositions.erase(engine.cached.back());
        engine.cached.pop_back();
    }
    engine.cached.push_front(hash);
    engine.cachePositions[hash] = engine.cached.begin();
}

/** Starts a request; the caller must not exceed the number of slots. */
inline void startStream(FakeEngine &engine, FakeStream stream)
{
    std::uint64_t cachedTokens = 0;
    for (const std::uint64_t hash : stream.prefixHashes) {
        if (!engine.cachePositions.contains(hash)) {
            break;
        }
        cachedTokens += engine.settings.blockTokens;
    }
    cachedTokens = std::min(cachedTokens, stream.promptTokens - 1);
    for (auto hash = stream.prefixHashes.rbegin(); hash != stream.prefixHashes.rend(); ++hash) {
        cacheBlock(engine, *hash);
    }
    engine.cachedTokens += cachedTokens;
    stream.prefillLeft = stream.promptTokens - cachedTokens;
    engine.streams.push_back(std::move(stream));
}

/** Prompt tokens of running requests that remain to be prefilled. */
inline std::uint64_t prefillLeft(const FakeEngine &engine)
{
    std::uint64_t tokens = 0;
    for (const FakeStream &stream : engine.streams) {
        tokens += stream.prefillLeft;
    }
    return tokens;
}

/** Output tokens of running requests that remain to be generated. */
inline std::uint64_t decodeLeft(const FakeEngine &engine)
{
    std::uint64_t tokens = 0;
    for (const FakeStream &stream : engine.streams) {
        tokens += stream.outputTokens - stream.generated;
    }
    return tokens;
}

/** Tokens per second that a fully occupied engine generates while it prefills nothing. */
inline double fullDecodeRate(const FakeEngineSettings &settings)
{
    return settings.slots / (settings.stepSeconds + settings.stepSecondsPerStream * settings.slots);
}

/** Runs one step; its result applies at the end of the step. The engine must have at least one stream. */
inline StepResult step(FakeEngine &engine)
{
    StepResult result;
    FakeStream *prefilling = nullptr;
    std::uint32_t decoding = 0;
    for (FakeStream &stream : engine.streams) {
        if (stream.prefillLeft == 0) {
            ++decoding;
            ++stream.generated;
        } else if (prefilling == nullptr || stream.priority < prefilling->priority) {
            prefilling = &stream;
        }
    }
    result.seconds = decoding > 0 ? engine.settings.stepSeconds + engine.settings.stepSecondsPerStream * decoding : 0.002;
    if (prefilling != nullptr) {
        const std::uint64_t chunk = std::min(prefilling->prefillLeft, engine.settings.chunkTokens);
        prefilling->prefillLeft -= chunk;
        engine.prefilledTokens += chunk;
        result.seconds += static_cast<double>(chunk) / engine.settings.prefillTokensPerSecond;
        const double rate = static_cast<double>(chunk) / result.seconds;
        engine.prefillRate += (engine.prefillRate > 0 ? 0.05 : 1.0) * (rate - engine.prefillRate);
        if (prefilling->prefillLeft == 0) {
            prefilling->generated = 1;
            result.crashed = prefilling->crashes;
            result.firstTokens.push_back(prefilling->id);
        }
    }
    std::erase_if(engine.streams, [&](const FakeStream &stream) {
        const bool done = stream.prefillLeft == 0 && stream.generated >= stream.outputTokens;
        if (done) {
            result.finished.push_back(stream.id);
        }
        return done;
    });
    return result;
}

/** Drops all requests and the cache; returns the ids of the requests that were running. */
inline std::vector<std::uint64_t> crash(FakeEngine &engine)
{
    std::vector<std::uint64_t> lost;
    for (const FakeStream &stream : engine.streams) {
        lost.push_back(stream.id);
    }
    engine.streams.clear();
    engine.cached.clear();
    engine.cachePositions.clear();
    return lost;
}

} // namespace snipehill::fakes
