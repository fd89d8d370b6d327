#pragma once

#include <connection/httpclient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <array>
#include <string>

namespace snipehill::support
{

/** Time limit of each operation of a reader. */
constexpr milliseconds timeLimit{5000};

/** What a client made of an answer. */
struct Received
{
    bool whole = false; //!< it took the answer for a whole response
    unsigned status = 0;
    std::string body;
    Duration took{};
    Reason reason;
};

/** One way to send a request and to read its response. */
struct ResponseReader
{
    const char *name;
    boost::asio::awaitable<Received> (*receive)(Endpoint server, std::string requestBody);
};

boost::asio::awaitable<Received> receiveOverConnection(Endpoint server, std::string requestBody);
/** Sends a request without a body first, which the server must answer on the connection, and reports the second response. */
boost::asio::awaitable<Received> receiveOverUsedConnection(Endpoint server, std::string requestBody);
boost::asio::awaitable<Received> receiveInCall(Endpoint server, std::string requestBody);

/** The two functions that read all responses of this system. */
constexpr std::array<ResponseReader, 2> responseReaders{{{"on a persistent connection", receiveOverConnection}, {"in a single call", receiveInCall}}};

/** Runs a coroutine to its end on a context of its own. */
template<typename Result> Result runToEnd(boost::asio::awaitable<Result> work)
{
    boost::asio::io_context context;
    auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
    context.run();
    return result.get();
}

} // namespace snipehill::support
