#include <core/loadreport.h>

namespace snipehill
{

const char *toString(EngineRole role) noexcept
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Mixed:
        break;
    }
    return "mixed";
}

} // namespace snipehill
