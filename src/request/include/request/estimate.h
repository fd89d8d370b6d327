#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Work that one request is expected to cause, in tokens. Filled by estimateChat(), owned by the attempt. */
struct CostEstimate
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::vector<std::uint64_t> prefixHashes; //!< one for each whole leading block of the prompt, in order
    bool stream = false; //!< the caller asked for server-sent events
    bool parsed = false; //!< false: the body is no chat-completions request, tokens come from its size
};

/** Settings of the estimate. */
struct EstimateSettings
{
    double bytesPerToken = 4; //!< average of the tokenizers in use
    std::uint64_t defaultOutputTokens = 256; //!< expected output where the request has no max_tokens
    std::uint64_t maxOutputTokens = 4096; //!< longer wishes are counted as this
    std::size_t maxPrefixBlocks = 64; //!< hashes computed for one request
};

/** Bytes of prompt text covered by one prefix hash. */
constexpr std::size_t prefixBlockBytes = 256;

/** Prompt tokens that one prefix hash stands for. */
std::uint64_t tokensPerPrefixBlock(const EstimateSettings &settings = {}) noexcept;

/**
 * Estimates prompt and output tokens and the prefix hashes of a chat-completions body.
 * Never fails: a body that can't be parsed is counted by its size. Thread safe.
 */
CostEstimate estimateChat(std::string_view body, const EstimateSettings &settings = {});

/**
 * Chained FNV-1a hashes of the whole leading blocks of a prompt: hash i covers model and blocks 0..i,
 * so equal hashes mean equal prefixes.
 */
std::vector<std::uint64_t> prefixHashes(std::string_view model, std::string_view prompt, std::size_t maxBlocks);

/** FNV-1a of a text, continued from an earlier hash; the fingerprint of a request is the hash of its body. */
std::uint64_t fingerprintOf(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL) noexcept;

} // namespace snipehill
