#pragma once

#include <connection/httpserver.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>

namespace snipehill
{

/** Exchange whose client takes a write only when it is allowed to. */
class SlowExchange : public HttpExchange
{
public:
    explicit SlowExchange(boost::asio::io_context &context) : m_taken(context) { }

    /** Lets the client take this many further writes. */
    void take(int writes)
    {
        m_allowed += writes;
        m_taken.cancel();
    }

    void breakConnection()
    {
        m_broken = true;
        m_taken.cancel();
    }

    boost::asio::awaitable<bool> write(std::string_view data) override
    {
        while (m_allowed == 0 && !m_broken) {
            m_taken.expires_at(TimePoint::max());
            co_await m_taken.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        if (m_broken) {
            co_return false;
        }
        --m_allowed;
        written += data;
        co_return true;
    }

    const boost::beast::http::request<boost::beast::http::string_body> &request() const noexcept override
    {
        return m_request;
    }
    const std::string &clientAddress() const noexcept override
    {
        return m_client;
    }
    boost::asio::awaitable<bool> respond(unsigned, HeaderList, std::string) override
    {
        co_return true;
    }
    boost::asio::awaitable<bool> beginStream(unsigned, HeaderList) override
    {
        co_return true;
    }
    boost::asio::awaitable<bool> finish() override
    {
        co_return true;
    }
    void abort() override { }
    bool hasResponseStarted() const noexcept override
    {
        return true;
    }
    bool isDisconnected() const noexcept override
    {
        return m_broken;
    }
    bool checkDisconnected() override
    {
        return m_broken;
    }
    void onDisconnect(std::function<void()>) override { }
    TimePoint received() const noexcept override
    {
        return {};
    }

    std::string written;

private:
    boost::asio::steady_timer m_taken;
    int m_allowed = 0;
    bool m_broken = false;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::string m_client;
};

} // namespace snipehill
