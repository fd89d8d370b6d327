#include <process/quotatable.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr seconds startTime{1}; // longest time for which a starting entry has a part of the limits
constexpr seconds freshTime{
    3}; // a bucket created within it after the start begins with the starting part, as entries that ended just now may have used the rest
constexpr milliseconds minSilence{3000}; // same time as for other uses of peer updates
constexpr milliseconds silencePerPeer{10}; // 2.5 update intervals, which grow with the number of entries
constexpr milliseconds partitionSilence{1000};
constexpr milliseconds shareSilence{200}; // of all peers, after which limits are shared; longer than the gaps between their updates unless some are lost
constexpr seconds maxPartition{60}; // after it, the others are taken to have been removed
constexpr milliseconds resumeSilence{500}; // of all peers, after which updates may have been waiting in the socket
constexpr milliseconds resumeTime{300}; // until such updates have been read and each peer has sent a current one
constexpr seconds reportTime{10}; // after the last use
constexpr seconds unitChangeTime{5}; // until all entries have the configuration

} // namespace

QuotaTable::QuotaTable(TimePoint started) : m_startEnd(started + startTime) { }

void QuotaTable::advanceTo(Bucket &bucket, TimePoint now)
{
    if (bucket.state.updated < m_startEnd) {
        advance(bucket.state, *bucket.quota, startingPart, std::min(now, m_startEnd));
    }
    if (now < m_startEnd) {
        return;
    }
    const TimePoint shareAt = m_lastHeard + shareSilence;
    if (m_countedPeers > 0 && now >= shareAt && bucket.sharedAt < shareAt) {
        advance(bucket.state, *bucket.quota, 1, shareAt);
        shareLimit(bucket.state, *bucket.quota, m_countedPeers, shareAt);
        bucket.sharedAt = shareAt;
    }
    advance(bucket.state, *bucket.quota, 1, now);
}

void QuotaTable::endStart(TimePoint now)
{
    if (now >= m_startEnd) {
        return;
    }
    for (auto &[workspace, bucket] : m_buckets) {
        if (bucket.quota) {
            advanceTo(bucket, now);
        }
    }
    m_startEnd = now;
}

void QuotaTable::endSharing(TimePoint now)
{
    for (auto &[workspace, bucket] : m_buckets) {
        if (bucket.quota && bucket.state.leftToOthers != 0) {
            advanceTo(bucket, now);
            // Entries that are heard again, or continue after a freeze, must not all take what they expected to be left.
            bucket.state.level = std::min(bucket.state.level, startingPart * bucket.quota->burst);
        }
        bucket.state.leftToOthers = 0;
    }
}

void QuotaTable::setRules(const RoutingVersion &version, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    std::map<NameHash, WorkspaceQuota> quotas;
    for (const WorkspaceRule &workspace : version.workspaces) {
        if (workspace.quota) {
            quotas.emplace(nameHash(workspace.name), *workspace.quota);
        }
    }
    for (auto &[workspace, bucket] : m_buckets) {
        if (bucket.quota) {
            advanceTo(bucket, now);
        }
        if (!quotas.contains(workspace)) {
            bucket.quota.reset();
        }
    }
    for (const auto &[workspace, quota] : quotas) {
        const auto [found, created] = m_buckets.try_emplace(workspace);
        Bucket &bucket = found->second;
        if (created || !bucket.quota) {
            bucket.lastUse = now; // the others see from a report of 0 that later counts are new
            const bool fresh = now < m_startEnd - startTime + freshTime;
            bucket.state.level = quota.burst * (fresh ? startingPart : 1);
            bucket.state.updated = now;
        } else if (bucket.quota->unit != quota.unit) {
            bucket.countFrom = now + unitChangeTime;
            bucket.state.level *= quota.burst / bucket.quota->burst;
        }
        bucket.quota = quota;
        bucket.state.level = std::min(bucket.state.level, quota.burst);
    }
}

QuotaDecision QuotaTable::admit(std::string_view workspace, std::uint64_t cost, double draw, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    const auto found = m_buckets.find(nameHash(workspace));
    if (found == m_buckets.end() || !found->second.quota) {
        return {}; // a version that limits the workspace has just taken effect, or one that doesn't
    }
    Bucket &bucket = found->second;
    advanceTo(bucket, now);
    QuotaDecision decision{.level = bucket.state.level, .limit = bucket.quota->ratePerSecond, .peers = m_countedPeers};
    decision.admitted = takeQuota(bucket.state, cost, now);
    if (decision.admitted) {
        bucket.admitted += cost;
        bucket.lastUse = now;
        return decision;
    }
    decision.oldestReport = m_countedPeers > 0 ? now - m_oldestHeard : Duration{};
    decision.retryAfter = quotaRetryAfter(bucket.state, *bucket.quota, m_countedPeers, draw);
    return decision;
}

void QuotaTable::giveBack(std::string_view workspace, std::uint64_t cost, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    const auto found = m_buckets.find(nameHash(workspace));
    if (found == m_buckets.end()) {
        return;
    }
    Bucket &bucket = found->second;
    bucket.admitted -= std::min(cost, bucket.admitted);
    bucket.lastUse = now;
    if (bucket.quota) {
        advanceTo(bucket, now);
        returnQuota(bucket.state, *bucket.quota, cost);
    }
}

void QuotaTable::fillPeerUpdate(PeerUpdate &update, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    for (const auto &[workspace, bucket] : m_buckets) {
        if (bucket.quota && (now - bucket.lastUse <= reportTime || now < m_reportAllUntil)) {
            update.quotaUse[workspace] = bucket.admitted;
        }
    }
}

bool QuotaTable::isPartitioned(TimePoint now) const
{
    return now - m_lastHeard >= partitionSilence && now - m_lastHeard < maxPartition;
}

bool QuotaTable::isSilent(const Peer &peer, TimePoint now) const
{
    const milliseconds longest = std::max(minSilence, silencePerPeer * static_cast<std::int64_t>(m_countedPeers));
    return now - std::max(peer.lastHeard, m_resumedAt) > longest;
}

void QuotaTable::dropPeer(Peer &peer, TimePoint now)
{
    peer.counted = false;
    for (auto &[workspace, use] : peer.use) {
        const auto bucket = m_buckets.find(workspace);
        if (bucket != m_buckets.end() && bucket->second.quota) {
            advanceTo(bucket->second, now);
        }
        if (bucket != m_buckets.end()) {
            stopExpecting(bucket->second.state, use, now);
        }
    }
}

QuotaPeers QuotaTable::checkPeers(TimePoint now)
{
    const std::lock_guard lock(m_lock);
    QuotaPeers peers{.partitioned = !m_peers.empty() && isPartitioned(now)};
    m_oldestHeard = now;
    for (auto &[instance, peer] : m_peers) {
        if (peer.counted && !peers.partitioned && isSilent(peer, now)) {
            dropPeer(peer, now);
        }
        if (peer.counted) {
            ++peers.counted;
            m_oldestHeard = std::min(m_oldestHeard, peer.lastHeard);
        }
    }
    std::erase_if(m_peers, [now](const auto &peer) {
        return !peer.second.counted && now - peer.second.lastHeard > maxPartition;
    });
    if (peers.counted == 0 && m_countedPeers > 0) {
        endSharing(now);
    }
    m_countedPeers = peers.counted;
    peers.partitioned = peers.partitioned && peers.counted > 0;
    return peers;
}

/** @param admitted empty: not in the update, so the workspace was not used there in the meantime */
void QuotaTable::applyUse(Bucket &bucket, Peer &peer, NameHash workspace, std::optional<std::uint64_t> admitted, TimePoint now)
{
    const auto [found, first] = peer.use.try_emplace(workspace);
    PeerQuotaUse &use = found->second;
    if (first) {
        use = {.admitted = admitted.value_or(0), .reported = now}; // what was admitted before may be old
        return;
    }
    if (now < bucket.countFrom) {
        stopExpecting(bucket.state, use, now);
        use = {.admitted = admitted.value_or(use.admitted), .reported = now};
        return;
    }
    applyPeerReport(bucket.state, *bucket.quota, use, admitted.value_or(use.admitted), now);
}

void QuotaTable::applyPeerUpdate(const PeerUpdate &update, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    endStart(now);
    endSharing(now);
    if (m_lastHeard != TimePoint{} && now - m_lastHeard >= resumeSilence) {
        m_resumedAt = now;
    }
    m_lastHeard = now;
    const auto [found, isNew] = m_peers.try_emplace(update.sender.instance);
    Peer &peer = found->second;
    if (peer.incarnation != update.sender.number) {
        // The counts of the new run start at 0. Those of the earlier one stay expected until the first report.
        for (auto &[workspace, use] : peer.use) {
            use.admitted = 0;
        }
        peer.incarnation = update.sender.number;
        m_reportAllUntil = now + reportTime;
    }
    m_countedPeers += isNew || !peer.counted ? 1 : 0;
    peer.counted = true;
    if (now - m_resumedAt >= resumeTime) {
        for (auto &[workspace, bucket] : m_buckets) {
            const auto reported = update.quotaUse.find(workspace);
            const bool isReported = reported != update.quotaUse.end();
            if (bucket.quota && (isReported || peer.use.contains(workspace))) {
                advanceTo(bucket, now);
                applyUse(bucket, peer, workspace, isReported ? std::optional(reported->second) : std::nullopt, now);
            }
        }
    }
    peer.lastHeard = now;
}

} // namespace snipehill
