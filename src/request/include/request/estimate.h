#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Estimated cost of a request in tokens. Filled by estimateChat(), owned by the attempt. */
struct CostEstimate
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::vector<std::uint64_t> prefixHashes; //!< one for each complete leading block of the prompt, in order
    bool stream = false; //!< the caller asked for server-sent events
    bool parsed = false; //!< false if the body is not a chat-completions request; tokens are then estimated from its size
};

/** Settings of the cost estimate. */
struct EstimateSettings
{
    double bytesPerToken = 4; //!< average of the tokenizers in use
    std::uint64_t defaultOutputTokens = 256; //!< output assumed for a request without max_tokens
    std::uint64_t maxOutputTokens = 4096; //!< upper bound of the estimated output
    std::size_t maxPrefixBlocks = 64; //!< maximum number of hashes computed for one request
};

/** Bytes of prompt text covered by one prefix hash. */
constexpr std::size_t prefixBlockBytes = 256;

/** Prompt tokens covered by one prefix hash. */
std::uint64_t tokensPerPrefixBlock(const EstimateSettings &settings = {}) noexcept;

/**
 * Estimates prompt and output tokens and the prefix hashes of a chat-completions body.
 * Never fails: the tokens of a body that can't be parsed are estimated from its size. Thread-safe.
 */
CostEstimate estimateChat(std::string_view body, const EstimateSettings &settings = {});

/**
 * Chained FNV-1a hashes of the complete leading blocks of a prompt: hash i covers the model name and blocks 0..i,
 * so equal hashes mean equal prefixes.
 */
std::vector<std::uint64_t> prefixHashes(std::string_view model, std::string_view prompt, std::size_t maxBlocks);

/** FNV-1a of a text, continued from an earlier hash; the fingerprint of a request is the hash of its body. */
std::uint64_t fingerprintOf(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL) noexcept;

} // namespace snipehill
