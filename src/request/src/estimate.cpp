#include <request/estimate.h>

#include <core/jsontext.h>

#include <algorithm>
#include <string>

namespace snipehill
{

namespace
{

constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

void appendContent(const Json::Value &content, std::string &prompt)
{
    if (content.isString()) {
        prompt += content.asString();
        return;
    }
    if (!content.isArray()) {
        return;
    }
    for (const Json::Value &part : content) {
        if (part.isObject() && part["text"].isString()) {
            prompt += part["text"].asString();
        }
    }
}

std::string extractPrompt(const Json::Value &body)
{
    std::string prompt;
    for (const Json::Value &message : body["messages"]) {
        if (!message.isObject()) {
            continue;
        }
        if (message["role"].isString()) {
            prompt += message["role"].asString();
        }
        prompt += '\n';
        appendContent(message["content"], prompt);
        prompt += '\n';
    }
    return prompt;
}

std::uint64_t estimateTokens(std::size_t bytes, const EstimateSettings &settings)
{
    return static_cast<std::uint64_t>(static_cast<double>(bytes) / settings.bytesPerToken) + 1;
}

std::uint64_t requestedOutputTokens(const Json::Value &body, const EstimateSettings &settings)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const Json::Value &wanted = body[name];
        if (wanted.isUInt64() && wanted.asUInt64() > 0) {
            return std::min<std::uint64_t>(wanted.asUInt64(), settings.maxOutputTokens);
        }
    }
    return settings.defaultOutputTokens;
}

bool parseObject(std::string_view body, Json::Value &value)
{
    auto parsed = parseJsonText(body);
    if (!parsed || !parsed->isObject()) {
        return false;
    }
    value = std::move(*parsed);
    return true;
}

} // namespace

std::uint64_t fingerprintOf(std::string_view text, std::uint64_t seed) noexcept
{
    for (const char c : text) {
        seed = (seed ^ static_cast<unsigned char>(c)) * fnvPrime;
    }
    return seed;
}

std::uint64_t tokensPerPrefixBlock(const EstimateSettings &settings) noexcept
{
    return static_cast<std::uint64_t>(static_cast<double>(prefixBlockBytes) / settings.bytesPerToken);
}

std::vector<std::uint64_t> prefixHashes(std::string_view model, std::string_view prompt, std::size_t maxBlocks)
{
    const std::size_t blocks = std::min(prompt.size() / prefixBlockBytes, maxBlocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(blocks);
    std::uint64_t hash = fingerprintOf(model);
    for (std::size_t block = 0; block < blocks; ++block) {
        hash = fingerprintOf(prompt.substr(block * prefixBlockBytes, prefixBlockBytes), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

CostEstimate estimateChat(std::string_view body, const EstimateSettings &settings)
{
    CostEstimate estimate;
    Json::Value value;
    if (!parseObject(body, value) || !value["messages"].isArray()) {
        estimate.promptTokens = estimateTokens(body.size(), settings);
        estimate.outputTokens = settings.defaultOutputTokens;
        return estimate;
    }
    const std::string prompt = extractPrompt(value);
    estimate.parsed = true;
    estimate.promptTokens = estimateTokens(prompt.size(), settings);
    estimate.outputTokens = requestedOutputTokens(value, settings);
    estimate.stream = value["stream"].isBool() && value["stream"].asBool();
    const std::string model = value["model"].isString() ? value["model"].asString() : std::string();
    estimate.prefixHashes = prefixHashes(model, prompt, settings.maxPrefixBlocks);
    return estimate;
}

} // namespace snipehill
