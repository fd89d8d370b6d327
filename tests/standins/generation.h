#pragma once

#include <json/value.h>

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipehill::standins
{

/** A chat completion requested from the engine. */
struct Generation
{
    std::string requestId;
    std::string model;
    std::string prompt; //!< contents of all messages, joined by newlines
    std::string cacheText; //!< role, newline, content, newline of each message: the text that the prefix cache hashes
    std::uint64_t promptTokens = 0; //!< number of words in the prompt
    std::uint64_t maxTokens = 16; //!< length of the complete output, tokens delivered before a resume included
    std::uint64_t resumeTokens = 0; //!< output tokens delivered before a resume
    std::int64_t priority = 0; //!< lower values start first
    bool stream = false;
    bool cancelled = false; //!< by a cancel request while it runs
    bool interrupted = false; //!< by an order that changed the engine while it ran
};

Generation parseGeneration(const Json::Value &body, std::string requestId);

/** Number of words in a text. */
std::uint64_t countWords(std::string_view text) noexcept;

/** Output token at a position; depends on the prompt and the position only. */
std::string tokenAt(std::string_view prompt, std::uint64_t position);

/** Server-sent event with one token. */
std::string tokenChunk(const Generation &generation, std::uint64_t position);
/** Server-sent event of the last chunk, with the usage. */
std::string lastChunk(const Generation &generation, std::uint64_t outputTokens);
/** Response to a call without streaming. */
Json::Value completionResponse(const Generation &generation);

/** A block stored in or evicted from the prefix cache. */
struct CacheEvent
{
    std::int64_t sequence = 0;
    std::string hash; //!< 16 hexadecimal digits: FNV-1a of the model name and the text up to the end of the block
    bool stored = true;
};

/** Cache of prompt prefixes in blocks of blockBytes, with least-recently-used eviction. */
class PrefixCache
{
public:
    static constexpr std::size_t blockBytes = 256;

    /** Returns the length of the cached prefix in bytes, then caches all complete blocks of the text. */
    std::size_t use(const std::string &model, std::string_view text, std::size_t capacityBlocks);
    /** Removes all blocks, as a change of role or model does. */
    void clear();
    const std::vector<CacheEvent> &events() const noexcept;

private:
    void recordEvent(const std::string &hash, bool stored);

    std::list<std::string> m_recent; //!< hashes, most recently used first
    std::unordered_map<std::string, std::list<std::string>::iterator> m_blocks;
    std::vector<CacheEvent> m_events;
};

} // namespace snipehill::standins
