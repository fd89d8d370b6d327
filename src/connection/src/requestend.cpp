#include <connection/httpserver.h>

namespace snipehill
{

const char *toString(RequestEnd end) noexcept
{
    switch (end) {
    case RequestEnd::Answered:
        return "answered";
    case RequestEnd::ClientLeft:
        return "client_left";
    case RequestEnd::Cut:
        return "cut";
    }
    return "";
}

} // namespace snipehill
