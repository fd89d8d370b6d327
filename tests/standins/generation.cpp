#include "generation.h"

#include "standin.h"

namespace snipehill::standins
{

namespace
{

Json::Value usageOf(const Generation &generation, std::uint64_t outputTokens)
{
    Json::Value usage;
    usage["prompt_tokens"] = Json::UInt64(generation.promptTokens);
    usage["completion_tokens"] = Json::UInt64(outputTokens);
    usage["total_tokens"] = Json::UInt64(generation.promptTokens + outputTokens);
    return usage;
}

Json::Value makeResponse(const Generation &generation, const char *object)
{
    Json::Value response;
    response["id"] = "chatcmpl-" + generation.requestId;
    response["object"] = object;
    response["model"] = generation.model;
    return response;
}

std::string event(const Json::Value &chunk)
{
    return "data: " + writeJson(chunk) + "\n\n";
}

} // namespace

Generation parseGeneration(const Json::Value &body, std::string requestId)
{
    Generation generation;
    generation.requestId = std::move(requestId);
    generation.model = body["model"].asString();
    for (const Json::Value &message : body["messages"]) {
        const std::string content = message["content"].asString();
        generation.prompt += (generation.prompt.empty() ? "" : "\n") + content;
        generation.cacheText += message["role"].asString() + "\n" + content + "\n";
    }
    generation.promptTokens = countWords(generation.prompt);
    generation.maxTokens = body.get("max_tokens", Json::UInt64(generation.maxTokens)).asUInt64();
    const std::uint64_t delivered = countWords(body["resume_text"].asString());
    generation.resumeTokens = body.get("resume_tokens", Json::UInt64(delivered)).asUInt64();
    generation.priority = body.get("priority", 0).asInt64();
    generation.stream = body.get("stream", false).asBool();
    return generation;
}

std::uint64_t countWords(std::string_view text) noexcept
{
    std::uint64_t words = 0;
    bool inWord = false;
    for (const char character : text) {
        const bool space = character == ' ' || character == '\n' || character == '\t' || character == '\r';
        words += !space && !inWord ? 1 : 0;
        inWord = !space;
    }
    return words;
}

std::string tokenAt(std::string_view prompt, std::uint64_t position)
{
    constexpr int digits = 6;
    return "w" + hex(fnv1a64(prompt) + position, digits) + " ";
}

std::string tokenChunk(const Generation &generation, std::uint64_t position)
{
    Json::Value choice;
    choice["index"] = 0;
    choice["delta"]["content"] = tokenAt(generation.prompt, position);
    choice["finish_reason"] = Json::Value();
    Json::Value chunk = makeResponse(generation, "chat.completion.chunk");
    chunk["choices"].append(std::move(choice));
    return event(chunk);
}

std::string lastChunk(const Generation &generation, std::uint64_t outputTokens)
{
    Json::Value choice;
    choice["index"] = 0;
    choice["delta"] = Json::Value(Json::objectValue);
    choice["finish_reason"] = "length";
    Json::Value chunk = makeResponse(generation, "chat.completion.chunk");
    chunk["choices"].append(std::move(choice));
    chunk["usage"] = usageOf(generation, outputTokens);
    return event(chunk);
}

Json::Value completionResponse(const Generation &generation)
{
    std::string content;
    for (std::uint64_t position = generation.resumeTokens; position < generation.maxTokens; ++position) {
        content += tokenAt(generation.prompt, position);
    }
    Json::Value choice;
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = content;
    choice["finish_reason"] = "length";
    Json::Value response = makeResponse(generation, "chat.completion");
    response["choices"].append(std::move(choice));
    response["usage"] = usageOf(generation, generation.maxTokens);
    return response;
}

std::size_t PrefixCache::use(const std::string &model, std::string_view text, std::size_t capacityBlocks)
{
    std::size_t cached = 0;
    bool prefix = true;
    for (std::size_t end = blockBytes; end <= text.size(); end += blockBytes) {
        constexpr int digits = 16;
        const std::string hash = hex(fnv1a64(model + std::string(text.substr(0, end))), digits);
        const auto found = m_blocks.find(hash);
        if (found != m_blocks.end()) {
            cached = prefix ? end : cached;
            m_recent.splice(m_recent.begin(), m_recent, found->second);
            continue;
        }
        prefix = false;
        m_recent.push_front(hash);
        m_blocks[hash] = m_recent.begin();
        recordEvent(hash, true);
    }
    while (m_recent.size() > capacityBlocks) {
        recordEvent(m_recent.back(), false);
        m_blocks.erase(m_recent.back());
        m_recent.pop_back();
    }
    return cached;
}

void PrefixCache::clear()
{
    for (const std::string &hash : m_recent) {
        recordEvent(hash, false);
    }
    m_recent.clear();
    m_blocks.clear();
}

const std::vector<CacheEvent> &PrefixCache::events() const noexcept
{
    return m_events;
}

void PrefixCache::recordEvent(const std::string &hash, bool stored)
{
    m_events.push_back({static_cast<std::int64_t>(m_events.size()), hash, stored});
}

} // namespace snipehill::standins
