#pragma once

#include "standins/standin.h"

#include <platform/storeclient.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <future>
#include <memory>
#include <thread>

namespace snipehill::support
{

/** Runs a stand-in of the store on a free port in its own thread. */
class StoreHost
{
public:
    StoreHost()
        : m_store(standins::makePlatformStore("store", "")), m_server(m_storeContext.get_executor(), {}, [this](HttpExchange &exchange) {
            return m_store->handle(exchange);
        })
    {
        Reason reason;
        REQUIRE(m_server.start({"127.0.0.1", 0}, reason));
        m_thread = std::thread([this] {
            m_storeContext.run();
        });
    }
    ~StoreHost()
    {
        m_storeContext.stop();
        m_thread.join();
    }
    StoreHost(const StoreHost &) = delete;
    StoreHost &operator=(const StoreHost &) = delete;

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_server.port()};
    }

    /** Runs one call to completion on the context that owns the client's persistent connections. */
    template<typename Result> Result run(boost::asio::awaitable<Result> call)
    {
        auto result = boost::asio::co_spawn(m_clientContext, std::move(call), boost::asio::use_future);
        m_clientContext.restart();
        m_clientContext.run();
        return result.get();
    }

    void setFaults(const std::string &json)
    {
        runOnStore([&] {
            m_store->faults.merge(*standins::parseJson(json));
        });
    }

    /** Brings the store back without what was appended within the given time. */
    void loseRecordsOf(milliseconds time)
    {
        runOnStore([&] {
            Json::Value copy;
            copy["ms"] = Json::Int64(time.count());
            REQUIRE(m_store->control("/copy", copy));
        });
    }

private:
    template<typename Work> void runOnStore(Work work)
    {
        std::promise<void> done;
        boost::asio::post(m_storeContext, [&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context m_clientContext;
    boost::asio::io_context m_storeContext;
    std::unique_ptr<standins::StandIn> m_store;
    HttpServer m_server;
    std::thread m_thread;
};

} // namespace snipehill::support
