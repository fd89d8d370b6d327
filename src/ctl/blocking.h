#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace snipehill
{

/** Runs a coroutine on the calling thread until it completes and returns its result; rethrows its exception. */
template<typename Result> Result runBlocking(boost::asio::awaitable<Result> operation)
{
    boost::asio::io_context context;
    std::optional<Result> result;
    boost::asio::co_spawn(context, std::move(operation), [&result](const std::exception_ptr &error, Result value) {
        if (error) {
            std::rethrow_exception(error);
        }
        result = std::move(value);
    });
    context.run();
    return std::move(*result);
}

} // namespace snipehill
