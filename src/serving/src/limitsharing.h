#pragma once

#include "entrycontext.h"

#include <connection/rpc.h>
#include <request/admission.h>

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <string>

namespace snipehill
{

/**
 * Keeps a workspace's limits across entries: once a second each entry tells its demand to the sidecar that
 * keeps the workspace (by rendezvous hashing over the instance list) and gets its part of the limits. One
 * message for each workspace that it serves, none from entry to entry; without a keeper an even part holds.
 */
class LimitAllocatorService
{
public:
    /** Adds limits.share; at sidecars, before the process serves. Thread-safe. */
    void offerMethods(RpcMethods &methods);

private:
    std::mutex m_lock;
    LimitAllocator m_allocator;
};

/** The entry's side; runs until the context's process stops. */
boost::asio::awaitable<void> runLimitSharing(EntryContext *context, PeerCall call, const std::atomic<bool> *stopped);

} // namespace snipehill
