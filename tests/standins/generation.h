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

/** A chat completion asked of the engine. */
struct Generation
{
    std::string requestId;
    std::string model;
    std::string prompt; //!< contents of all messages, joined by line ends
    std::string cacheText; //!< role, line end, content, line end of each message
    std::uint64_t promptTokens = 0; //!< words of the prompt
    std::uint64_t maxTokens = 16; //!< length of the whole answer, what was delivered before included
    std::uint64_t resumeTokens = 0; //!< output tokens delivered before
    std::int64_t priority = 0; //!< a lower one starts first
    bool stream = false;
    bool cancelled = false; //!< set while it runs
    bool interrupted = false; //!< an order took the engine away while it ran
};

Generation parseGeneration(const Json::Value &body, std::string requestId);

/** Words of a text. */
std::uint64_t countWords(std::string_view text) noexcept;

/** Token of an answer: a function of prompt and position only. */
std::string tokenAt(std::string_view prompt, std::uint64_t position);

/** "data: {...}\n\n" of one token, of the last chunk with usage, and the whole answer of a call without stream. */
std::string tokenChunk(const Generation &generation, std::uint64_t position);
std::string lastChunk(const Generation &generation, std::uint64_t outputTokens);
Json::Value completionResponse(const Generation &generation);

/** A change of the prefix cache's content. */
struct CacheEvent
{
    std::int64_t sequence = 0;
    std::string hash; //!< 16 hexadecimal digits: FNV-1a of the model's name and the text up to the end of the block
    bool stored = true;
};

/** Prompt prefixes in blocks of blockBytes, least recently used ones evicted. */
class PrefixCache
{
public:
    static constexpr std::size_t blockBytes = 256;

    /** Bytes of the text that were cached; afterwards its whole blocks are. */
    std::size_t use(const std::string &model, std::string_view text, std::size_t capacityBlocks);
    /** Forgets all, as a role or model change does. */
    void clear();
    const std::vector<CacheEvent> &events() const noexcept;

private:
    void recordEvent(const std::string &hash, bool stored);

    std::list<std::string> m_recent; //!< hashes, the latest used first
    std::unordered_map<std::string, std::list<std::string>::iterator> m_blocks;
    std::vector<CacheEvent> m_events;
};

} // namespace snipehill::standins
