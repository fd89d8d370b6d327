#include <version/jsonfields.h>
#include <version/recordparser.h>

#include <catch2/catch.hpp>

#include <string>

using namespace snipehill;

namespace
{

const std::string hash(64, 'a');

bool mentions(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("invalid record files are rejected with the name of the field", "[config][parse]")
{
    struct Case
    {
        std::string text;
        std::string error; //!< part of the reason, empty for a valid file
    };
    const std::string workspace = R"("kind":"workspace","schemaVersion":1,"name":"bureau")";
    const Case cases[] = {
        {"// licence office\n{" + workspace + R"(,"spec":{"weight":2 /* twice */}})", ""},
        {"{" + workspace + R"(,"replaces":null,"spec":{}})", ""},
        {"{" + workspace + R"(,"replaces":4,"withdrawn":true})", ""},
        {"{" + workspace + R"(,"withdrawn":true,"spec":{}})", "spec must be absent"},
        {"{" + workspace + R"(})", "spec must be an object"},
        {"{" + workspace + R"(,"spec":{"wieght":2}})", "spec.wieght is not known"},
        {"{" + workspace + R"(,"owner":"x","spec":{}})", "owner is not known"},
        {"{" + workspace + R"(,"spec":{"weight":0}})", "spec.weight must lie between"},
        {"{" + workspace + R"(,"spec":{"weight":"2"}})", "spec.weight must be a number"},
        {"{" + workspace + R"(,"spec":{"weight":1e999}})", "1e999' is not a number"},
        {"{" + workspace + R"(,"spec":{"concurrentRequests":1.5}})", "spec.concurrentRequests must be a whole number"},
        {"{" + workspace + R"(,"spec":{"concurrentRequests":-1}})", "spec.concurrentRequests must lie between"},
        {"{" + workspace + R"(,"spec":{"weight":1,"weight":2}})", "uplicate"},
        {"{" + workspace + R"(,"replaces":-1,"spec":{}})", "replaces must lie between"},
        {"{" + workspace + R"(,"replaces":"4","spec":{}})", "replaces must be a whole number"},
        {"{" + workspace + R"(,"spec":{}} trailing)", "Extra"},
        {"{" + workspace + R"(,"spec":{},})", "Missing '}'"},
        {R"({"schemaVersion":1,"name":"a","spec":{}})", "kind must be"},
        {R"({"kind":"snapshot","schemaVersion":1,"name":"a","spec":{}})", "kind must be"},
        {R"({"kind":"workspace","name":"a","spec":{}})", "schemaVersion must be given"},
        {R"({"kind":"workspace","schemaVersion":2,"name":"a","spec":{}})", "schemaVersion is newer"},
        {R"({"kind":"workspace","schemaVersion":0,"name":"a","spec":{}})", "schemaVersion must lie between"},
        {R"({"kind":"workspace","schemaVersion":1,"spec":{}})", "name must not be absent"},
        {R"({"kind":"workspace","schemaVersion":1,"name":"a b","spec":{}})", "name may only hold"},
        {R"({"kind":"workspace","schemaVersion":1,"name":")" + std::string(200, 'n') + R"(","spec":{}})", "name must not be longer"},
        {R"({"kind":"key","schemaVersion":1,"name":"k","spec":{"workspace":"w","sha256":")" + hash + R"("}})", ""},
        {R"({"kind":"key","schemaVersion":1,"name":"k","spec":{"sha256":")" + hash + R"("}})", "spec.workspace must not be absent"},
        {R"({"kind":"key","schemaVersion":1,"name":"k","spec":{"workspace":"w","sha256":"secret"}})", "spec.sha256 must be 64"},
        {R"({"kind":"targetGroup","schemaVersion":1,"name":"g","spec":{"kind":"engine","model":"m","minTargets":2,"maxTargets":4}})", ""},
        {R"({"kind":"targetGroup","schemaVersion":1,"name":"g","spec":{"kind":"engine"}})", "spec.model must be given"},
        {R"({"kind":"targetGroup","schemaVersion":1,"name":"g","spec":{"kind":"service","planRoles":true}})", "spec.kind must be"},
        {R"({"kind":"targetGroup","schemaVersion":1,"name":"g","spec":{"kind":"service","minTargets":3,"maxTargets":2}})", "spec.maxTargets must not be below"},
        {R"({"kind":"targetGroup","schemaVersion":1,"name":"g","spec":{"kind":"teapot"}})", "spec.kind must be"},
        {R"({"kind":"route","schemaVersion":1,"name":"r","spec":{"prefix":"/a","targetGroup":"g","idempotent":false,"requireIdempotencyKey":true}})", ""},
        {R"({"kind":"route","schemaVersion":1,"name":"r","spec":{"prefix":"a","targetGroup":"g"}})", "spec.prefix must start"},
        {R"({"kind":"route","schemaVersion":1,"name":"r","spec":{"prefix":"/a"}})", "spec.targetGroup must not be absent"},
        {R"({"kind":"route","schemaVersion":1,"name":"r","spec":{"prefix":"/a","targetGroup":"g","deadlineMs":0}})", "spec.deadlineMs must lie between"},
        {R"({"kind":"route","schemaVersion":1,"name":"r","spec":{"prefix":"/a","targetGroup":"g","requireIdempotencyKey":true}})",
         "spec.requireIdempotencyKey"},
        {R"([])", "value must be an object"},
        {R"("text")", "value must be an object"},
        {"", "Syntax error"},
        {R"({"kind":)", "Syntax error"},
        {std::string(100, '['), "nesting deeper"},
    };
    for (const Case &c : cases) {
        Reason reason;
        const auto file = parseRecordFile(c.text, reason);
        INFO(c.text << " -> " << reason.detail);
        REQUIRE(file.has_value() == c.error.empty());
        REQUIRE(mentions(reason.detail, c.error));
    }
}

TEST_CASE("the fields of a record are parsed into the struct", "[config][parse]")
{
    Reason reason;
    const auto file = parseRecordFile(
        R"({"kind":"route","schemaVersion":1,"name":"fees","replaces":7,
            "spec":{"prefix":"/v1/fees","targetGroup":"licences","idempotent":false,"open":true,"deadlineMs":5000}})",
        reason);
    REQUIRE(file);
    REQUIRE(file->envelope.replaces == Offset{7});
    const auto spec = parseSpec(file->envelope, file->record, reason);
    REQUIRE(spec);
    const Route &route = std::get<Route>(*spec);
    REQUIRE(route.name == "fees");
    REQUIRE(route.prefix == "/v1/fees");
    REQUIRE(route.targetGroup == "licences");
    REQUIRE_FALSE(route.idempotent);
    REQUIRE(route.open);
    REQUIRE(route.deadline == milliseconds(5000));
}
