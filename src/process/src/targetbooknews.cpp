#include "targetbookshard.h"

#include <request/estimate.h>

#include <iterator>
#include <utility>

namespace snipehill
{

void TargetBook::fillNews(PeerNews &news, TimePoint now)
{
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        for (const auto &[id, target] : shard->targets) {
            if (target.running > 0 || !target.reads.empty()) {
                news.loads[target.hash] = {ownBacklog(target, now), target.running};
            }
            if (target.orderedHere && isChanging(target, now)) {
                news.roleChanges[target.hash] = {target.orderedRole, target.changingUntil - now};
            }
        }
        std::move(shard->unsentReads.begin(), shard->unsentReads.end(), std::back_inserter(news.reads));
        shard->unsentReads.clear();
        for (const auto &[id, tokens] : std::exchange(shard->unsentShortTokens, {})) {
            // One block of a name that no prompt has stands for all short prompts.
            news.reads.push_back({targetHash(id), {{fingerprintOf(m_settings.instance, fingerprintOf(id, shard->nextTicket++)), tokens}}});
        }
    }
}

std::vector<std::string> TargetBook::takeNews(const PeerNews &news, TimePoint now)
{
    std::vector<std::string> changing;
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        std::map<TargetHash, std::string_view> ids;
        for (auto &[id, target] : shard->targets) {
            ids[target.hash] = id;
            const auto told = news.loads.find(target.hash);
            if (told == news.loads.end()) {
                target.peers.erase(news.sender.instance);
            } else {
                target.peers[news.sender.instance] = {told->second, now};
            }
        }
        for (const auto &[hash, change] : news.roleChanges) {
            const auto id = ids.find(hash);
            if (id != ids.end()) {
                Target &target = shard->targets.find(id->second)->second;
                const bool known = isChanging(target, now);
                target.orderedRole = change.role;
                target.changingUntil = now + change.remaining;
                target.orderedHere = false;
                if (!known && isChanging(target, now)) {
                    changing.push_back(target.entry.id);
                }
            }
        }
        for (const TargetReads &reads : news.reads) {
            const auto id = ids.find(reads.target);
            if (id != ids.end()) {
                recordRoutedBlocks(shard->kept, id->second, reads.blocks);
            }
        }
    }
    return changing;
}

} // namespace snipehill
