#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace snipehill
{

/**
 * Largest amount of received data that a connection keeps before it is parsed, in bytes. Parsers consume decoded bodies at once, so this bounds
 * header sections and the framing of chunks, for which the parser has no limit of its own.
 */
constexpr std::size_t maxReceiveBufferBytes = 65536;

/** Buffer for received data; reading into it fails with boost::beast::http::error::buffer_overflow once it is full. */
inline boost::beast::flat_buffer makeReceiveBuffer()
{
    return boost::beast::flat_buffer(maxReceiveBufferBytes);
}

} // namespace snipehill
