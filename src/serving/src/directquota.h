#pragma once

#include "directrequest.h"

namespace snipehill
{

/** What a request takes from the quota of its workspace; returned in the end if no target can have run the request. Lives as long as the request. */
class QuotaCharge
{
public:
    explicit QuotaCharge(DirectRequest &request) : m_request(request) { }
    ~QuotaCharge();
    QuotaCharge(const QuotaCharge &) = delete;
    QuotaCharge &operator=(const QuotaCharge &) = delete;

    /** Takes the cost; a refusal if the request is beyond the quota. Does nothing for a workspace without a quota. */
    std::optional<DirectRefusal> take();

private:
    DirectRequest &m_request;
    std::uint64_t m_cost = 0;
};

} // namespace snipehill
