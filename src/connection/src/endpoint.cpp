#include <connection/endpoint.h>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace snipehill
{

std::optional<Endpoint> parseEndpoint(std::string_view text, Reason &reason)
{
    const auto colon = text.rfind(':');
    std::string_view host = text.substr(0, colon == std::string_view::npos ? 0 : colon);
    const std::string_view digits = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code addressError;
    boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError || error != std::errc() || end != digits.data() + digits.size() || port == 0) {
        reason = {Step::Parse, {}, "\"" + std::string(text) + "\" is not an IP address with a port"};
        return std::nullopt;
    }
    return Endpoint{std::string(host), port};
}

std::string toString(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" + std::to_string(endpoint.port);
}

} // namespace snipehill
