#include <process/intentbook.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

/** Time for which ends wait, so that they share an append with others. */
constexpr milliseconds endDelay{200};
constexpr std::size_t batchEntries = 256;

void giveUp(IntentBook &book, std::uint64_t claim, TimePoint now)
{
    const auto found = book.open.find(claim);
    if (found->second.sent) {
        IntentEntry end{.verb = IntentVerb::NotRun, .key = found->second.key, .claim = claim};
        endClaim(book, std::move(end), now);
    }
    book.open.erase(found);
}

const IntentState *findInLine(const IntentBook &book, std::uint64_t claim, const IntentKey &key)
{
    const auto claims = book.table.claims.find(key);
    if (claims == book.table.claims.end()) {
        return nullptr;
    }
    const auto found = std::find_if(claims->second.begin(), claims->second.end(), [&](const IntentState &state) {
        return state.claim == claim;
    });
    return found == claims->second.end() ? nullptr : &*found;
}

} // namespace

void openClaim(IntentBook &book, std::uint64_t claim, IntentKey key, std::string bodyHash, TimePoint deadline)
{
    book.open[claim] = {.key = std::move(key), .bodyHash = std::move(bodyHash), .deadline = deadline};
}

void endClaim(IntentBook &book, IntentEntry end, TimePoint now)
{
    book.ends.push_back({std::move(end), now});
}

std::optional<TimePoint> appendDue(const IntentBook &book, TimePoint now)
{
    const bool claims = std::any_of(book.open.begin(), book.open.end(), [](const auto &entry) {
        return entry.second.queued;
    });
    if (claims || book.ends.size() >= batchEntries) {
        return now;
    }
    if (book.ends.empty()) {
        return std::nullopt;
    }
    return book.ends.front().since + endDelay;
}

std::optional<IntentBatch> takeBatch(IntentBook &book)
{
    IntentBatch batch{.record = {.owner = book.self}};
    for (auto &[id, claim] : book.open) {
        if (claim.queued && batch.record.entries.size() < batchEntries) {
            batch.record.entries.push_back({.verb = IntentVerb::Claim, .key = claim.key, .claim = id, .bodyHash = claim.bodyHash});
            claim.queued = false;
            claim.sent = true;
        }
    }
    const std::size_t room = batchEntries - batch.record.entries.size();
    const auto last = book.ends.begin() + static_cast<std::ptrdiff_t>(std::min(room, book.ends.size()));
    batch.ends.assign(book.ends.begin(), last);
    book.ends.erase(book.ends.begin(), last);
    for (const OpenEnd &end : batch.ends) {
        batch.record.entries.push_back(end.entry);
    }
    if (batch.record.entries.empty()) {
        return std::nullopt;
    }
    return batch;
}

void noteAppend(IntentBook &book, IntentBatch batch, bool answered)
{
    if (!answered) {
        // Ends count once however often they are appended, so they simply go out again.
        book.ends.insert(book.ends.begin(), batch.ends.begin(), batch.ends.end());
    }
}

void takeIntentPage(IntentBook &book, Offset firstRetained, const std::vector<std::pair<Offset, Json::Value>> &records)
{
    expireIntents(book.table, firstRetained);
    for (const auto &[offset, record] : records) {
        applyIntentRecord(book.table, offset, record);
    }
}

void resendMissing(IntentBook &book)
{
    for (auto &[id, claim] : book.open) {
        claim.queued = claim.queued || (claim.sent && !findInLine(book, id, claim.key));
    }
}

std::optional<IntentClaim> decideClaim(IntentBook &book, std::uint64_t claim, TimePoint now)
{
    const auto found = book.open.find(claim);
    if (found == book.open.end()) {
        return std::nullopt;
    }
    const OpenClaim &open = found->second;
    if (now >= open.deadline) {
        giveUp(book, claim, now);
        return IntentLogDown{{Step::RecordIntent, "", "the log did not confirm the request in time"}};
    }
    if (!findInLine(book, claim, open.key)) {
        return std::nullopt;
    }
    const IntentState owner = *findIntent(book.table, open.key);
    if (owner.claim == claim) {
        book.open.erase(found);
        return IntentOwned{claim};
    }
    const bool sameRequest = owner.bodyHash.empty() || owner.bodyHash == open.bodyHash;
    giveUp(book, claim, now);
    return IntentOwnedByOther{owner.owner, owner.finished, sameRequest};
}

} // namespace snipehill
