#include "run.h"

#include <process/log.h>

namespace snipehill
{

int runEntry(const Settings &)
{
    logEvent(Part::Process, Level::Error, "role entry is not built yet");
    return 1;
}

int runSidecar(const Settings &)
{
    logEvent(Part::Process, Level::Error, "role sidecar is not built yet");
    return 1;
}

} // namespace snipehill
