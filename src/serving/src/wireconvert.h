#pragma once

#include <connection/httpserver.h>
#include <core/loadreport.h>
#include <core/refusal.h>
#include <request/crashsuspects.h>

#include <link.pb.h>

#include <vector>

namespace snipehill
{

// Conversions between the types of this process and their link messages: fill...() writes a message, read...()
// reads one.

void fillLoad(wire::Load &message, const LoadReport &report);
LoadReport readLoad(const wire::Load &message);

void fillRefusal(wire::RefusalMessage &message, const Refusal &refusal);
Refusal readRefusal(const wire::RefusalMessage &message);

using SuspectField = google::protobuf::RepeatedPtrField<wire::Suspect>;
void fillSuspects(SuspectField &message, const std::vector<SuspectUpdate> &updates);
std::vector<SuspectUpdate> readSuspects(const SuspectField &message);

HeaderList readHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &headers);
void fillHeaders(google::protobuf::RepeatedPtrField<wire::Header> &message, const HeaderList &headers);

} // namespace snipehill
