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
 * Splits the limits of workspaces among entries. Once a second each entry reports its demand to the sidecar that
 * allocates the workspace's limits (found by rendezvous hashing over the instance list) and gets its share. Entries
 * send one message to each allocator of the workspaces that they serve and none to each other; an entry that can't
 * reach the allocator uses an even share. Thread-safe.
 */
class LimitAllocatorService
{
public:
    /** Registers the method limits.share; called at sidecars before the process serves. */
    void registerMethods(RpcMethods &methods);

private:
    std::mutex m_lock;
    LimitAllocator m_allocator;
};

/** Requests shares for an entry once a second until `stopped` is set. */
boost::asio::awaitable<void> runLimitSharing(EntryContext *context, PeerCall call, const std::atomic<bool> *stopped);

} // namespace snipehill
