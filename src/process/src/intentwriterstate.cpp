#include <process/intentwriterstate.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

/** Delay of outcomes, so that several share an append. */
constexpr milliseconds outcomeDelay{200};
constexpr std::size_t maxBatchEntries = 256;

void abandonClaim(IntentWriterState &state, std::uint64_t claim, TimePoint now)
{
    const auto found = state.pendingClaims.find(claim);
    if (found->second.sent) {
        IntentEntry outcome{.verb = IntentVerb::NotRun, .key = found->second.key, .claim = claim};
        addOutcome(state, std::move(outcome), now);
    }
    state.pendingClaims.erase(found);
}

const IntentState *findRecordedClaim(const IntentWriterState &state, std::uint64_t claim, const IntentKey &key)
{
    const auto claims = state.table.claims.find(key);
    if (claims == state.table.claims.end()) {
        return nullptr;
    }
    const auto found = std::find_if(claims->second.begin(), claims->second.end(), [&](const IntentState &candidate) {
        return candidate.claim == claim;
    });
    return found == claims->second.end() ? nullptr : &*found;
}

} // namespace

void addClaim(IntentWriterState &state, std::uint64_t claim, IntentKey key, std::string bodyHash, TimePoint deadline)
{
    state.pendingClaims[claim] = {.key = std::move(key), .bodyHash = std::move(bodyHash), .deadline = deadline};
}

void addOutcome(IntentWriterState &state, IntentEntry outcome, TimePoint now)
{
    state.outcomes.push_back({std::move(outcome), now});
}

std::optional<TimePoint> appendDueAt(const IntentWriterState &state, TimePoint now)
{
    const bool claims = std::any_of(state.pendingClaims.begin(), state.pendingClaims.end(), [](const auto &entry) {
        return entry.second.queued;
    });
    if (claims || state.outcomes.size() >= maxBatchEntries) {
        return now;
    }
    if (state.outcomes.empty()) {
        return std::nullopt;
    }
    return state.outcomes.front().since + outcomeDelay;
}

std::optional<IntentBatch> takeNextBatch(IntentWriterState &state)
{
    IntentBatch batch{.record = {.owner = state.self}};
    for (auto &[id, claim] : state.pendingClaims) {
        if (claim.queued && batch.record.entries.size() < maxBatchEntries) {
            batch.record.entries.push_back({.verb = IntentVerb::Claim, .key = claim.key, .claim = id, .bodyHash = claim.bodyHash});
            claim.queued = false;
            claim.sent = true;
        }
    }
    const std::size_t remaining = maxBatchEntries - batch.record.entries.size();
    const auto last = state.outcomes.begin() + static_cast<std::ptrdiff_t>(std::min(remaining, state.outcomes.size()));
    batch.outcomes.assign(state.outcomes.begin(), last);
    state.outcomes.erase(state.outcomes.begin(), last);
    for (const PendingOutcome &outcome : batch.outcomes) {
        batch.record.entries.push_back(outcome.entry);
    }
    if (batch.record.entries.empty()) {
        return std::nullopt;
    }
    return batch;
}

void onAppendResult(IntentWriterState &state, IntentBatch batch, bool answered)
{
    if (!answered) {
        // Appending an outcome twice has no further effect, so all are queued again.
        state.outcomes.insert(state.outcomes.begin(), batch.outcomes.begin(), batch.outcomes.end());
    }
}

void applyIntentPage(IntentWriterState &state, Offset firstRetained, const std::vector<std::pair<Offset, Json::Value>> &records)
{
    expireIntents(state.table, firstRetained);
    for (const auto &[offset, record] : records) {
        applyIntentRecord(state.table, offset, record);
    }
}

void requeueMissingClaims(IntentWriterState &state)
{
    for (auto &[id, claim] : state.pendingClaims) {
        claim.queued = claim.queued || (claim.sent && !findRecordedClaim(state, id, claim.key));
    }
}

std::optional<IntentClaim> resolveClaim(IntentWriterState &state, std::uint64_t claim, TimePoint now)
{
    const auto found = state.pendingClaims.find(claim);
    if (found == state.pendingClaims.end()) {
        return std::nullopt;
    }
    const PendingClaim &pending = found->second;
    if (now >= pending.deadline) {
        abandonClaim(state, claim, now);
        return IntentLogUnavailable{{Step::RecordIntent, "", "the log did not confirm the request in time"}};
    }
    if (!findRecordedClaim(state, claim, pending.key)) {
        return std::nullopt;
    }
    const IntentState owner = *findIntent(state.table, pending.key);
    if (owner.claim == claim) {
        state.pendingClaims.erase(found);
        return IntentOwned{claim};
    }
    const bool sameRequest = owner.bodyHash.empty() || owner.bodyHash == pending.bodyHash;
    abandonClaim(state, claim, now);
    return IntentOwnedByOther{owner.owner, owner.finished, sameRequest};
}

} // namespace snipehill
