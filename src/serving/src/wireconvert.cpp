#include "wireconvert.h"

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::uint32_t lastRole = static_cast<std::uint32_t>(EngineRole::Decode);
constexpr std::uint32_t lastOutcome = static_cast<std::uint32_t>(Outcome::Rejected);
constexpr std::uint32_t lastStep = static_cast<std::uint32_t>(Step::Shutdown);

} // namespace

void fillLoad(wire::Load &message, const LoadReport &report)
{
    message.set_instance(report.instance);
    message.set_incarnation(report.incarnation);
    message.set_target_group(report.targetGroup);
    message.set_role(static_cast<std::uint32_t>(report.role));
    message.set_accepting(report.accepting);
    message.set_slots(report.slots);
    message.set_running(report.running);
    message.set_queued(report.queued);
    message.set_queued_prefill_tokens(report.queuedPrefillTokens);
    message.set_queued_decode_tokens(report.queuedDecodeTokens);
    message.set_prefill_tokens_per_second(report.prefillTokensPerSecond);
    message.set_decode_tokens_per_second(report.decodeTokensPerSecond);
    message.set_cache_epoch(report.cacheEpoch);
    message.set_admitted_prefill_tokens(report.admittedPrefillTokens);
    message.set_admitted_decode_tokens(report.admittedDecodeTokens);
}

LoadReport readLoad(const wire::Load &message)
{
    LoadReport report;
    report.instance = message.instance();
    report.incarnation = message.incarnation();
    report.targetGroup = message.target_group();
    report.role = static_cast<EngineRole>(std::min(message.role(), lastRole));
    report.accepting = message.accepting();
    report.slots = message.slots();
    report.running = message.running();
    report.queued = message.queued();
    report.queuedPrefillTokens = message.queued_prefill_tokens();
    report.queuedDecodeTokens = message.queued_decode_tokens();
    report.prefillTokensPerSecond = message.prefill_tokens_per_second();
    report.decodeTokensPerSecond = message.decode_tokens_per_second();
    report.cacheEpoch = message.cache_epoch();
    report.admittedPrefillTokens = message.admitted_prefill_tokens();
    report.admittedDecodeTokens = message.admitted_decode_tokens();
    return report;
}

void fillRefusal(wire::RefusalMessage &message, const Refusal &refusal)
{
    message.set_outcome(static_cast<std::uint32_t>(refusal.outcome));
    message.set_status(refusal.status);
    message.set_step(static_cast<std::uint32_t>(refusal.reason.step));
    message.set_peer(refusal.reason.peer);
    message.set_detail(refusal.reason.detail);
    message.set_retry_after_s(refusal.retryAfter ? static_cast<std::uint32_t>(refusal.retryAfter->count()) : 0);
}

Refusal readRefusal(const wire::RefusalMessage &message)
{
    Refusal refusal;
    // An unknown outcome or step, sent by a newer process, maps to the value that makes no promise to the caller.
    refusal.outcome = message.outcome() > lastOutcome ? Outcome::OutcomeUnknown : static_cast<Outcome>(message.outcome());
    refusal.status = message.status();
    refusal.reason.step = message.step() > lastStep ? Step::Dispatch : static_cast<Step>(message.step());
    refusal.reason.peer = message.peer();
    refusal.reason.detail = message.detail();
    if (message.retry_after_s() > 0) {
        refusal.retryAfter = seconds(message.retry_after_s());
    }
    return refusal;
}

void fillSuspects(SuspectField &message, const std::vector<SuspectUpdate> &updates)
{
    for (const SuspectUpdate &one : updates) {
        wire::Suspect *suspect = message.Add();
        suspect->set_fingerprint(one.fingerprint);
        suspect->set_rank(one.rank);
        suspect->set_age_ms(static_cast<std::uint64_t>(one.age.count()));
    }
}

std::vector<SuspectUpdate> readSuspects(const SuspectField &message)
{
    std::vector<SuspectUpdate> updates;
    updates.reserve(static_cast<std::size_t>(message.size()));
    for (const wire::Suspect &suspect : message) {
        updates.push_back({suspect.fingerprint(), suspect.rank(), milliseconds(suspect.age_ms())});
    }
    return updates;
}

HeaderList readHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &headers)
{
    HeaderList list;
    list.reserve(static_cast<std::size_t>(headers.size()));
    for (const wire::Header &header : headers) {
        list.emplace_back(header.name(), header.value());
    }
    return list;
}

void fillHeaders(google::protobuf::RepeatedPtrField<wire::Header> &message, const HeaderList &headers)
{
    for (const auto &[name, value] : headers) {
        wire::Header *header = message.Add();
        header->set_name(name);
        header->set_value(value);
    }
}

} // namespace snipehill
