#pragma once

#include "virtualtime.h"

#include <json/value.h>

#include <string>

namespace snipehill::test
{

/** One of three names, so that records often refer to the same object. */
inline std::string randomName(SeededRandom &choices, const char *prefix)
{
    return prefix + std::to_string(choices.between(0, 2));
}

/** Random spec of a record of the given kind, sometimes with a value out of range or a reference to a missing object. */
inline Json::Value randomSpec(SeededRandom &choices, const std::string &kind)
{
    Json::Value spec(Json::objectValue);
    if (kind == "workspace") {
        spec["weight"] = Json::Int64(choices.between(choices.percent(5) ? 0 : 1, 5));
    } else if (kind == "key") {
        spec["workspace"] = randomName(choices, "workspace");
        spec["sha256"] = std::string(64, static_cast<char>('a' + choices.between(0, 5)));
    } else if (kind == "targetGroup") {
        spec["kind"] = "service";
    } else {
        spec["prefix"] = "/" + randomName(choices, "p");
        spec["targetGroup"] = randomName(choices, "targetGroup");
    }
    return spec;
}

} // namespace snipehill::test
