#pragma once

#include <core/reason.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/** IP address and TCP port of a peer. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default; // NOLINT(modernize-use-nullptr) misread by clang-tidy 14
};

/** Parses "127.0.0.1:8080" or "[::1]:8080". Host names are not resolved; port 0 is invalid. Empty with a reason on error. */
std::optional<Endpoint> parseEndpoint(std::string_view text, Reason &reason);

/** Formats as "127.0.0.1:8080" or "[::1]:8080". */
std::string toString(const Endpoint &endpoint);

} // namespace snipehill
