#pragma once

#include "virtualtime.h"

#include <process/logclient.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace snipehill::test
{

/** Log in virtual time whose streams lose records at both ends. */
class SimulatedLog
{
public:
    LogEra era() const noexcept
    {
        return m_era;
    }
    void append(const std::string &stream, const std::vector<Json::Value> &records, Duration now)
    {
        for (const Json::Value &record : records) {
            m_streams[stream].records.push_back({now, record});
        }
    }
    /** All records from an offset on; from the first retained one if that offset does not exist. */
    LogPage read(const std::string &stream, Offset from) const
    {
        static const Stream empty;
        const auto found = m_streams.find(stream);
        const Stream &source = found == m_streams.end() ? empty : found->second;
        const auto end = source.firstRetained + static_cast<Offset>(source.records.size());
        LogPage page{.era = m_era, .firstRetained = source.firstRetained, .next = end};
        if (from < source.firstRetained || from > end) {
            page.next = source.firstRetained;
            return page;
        }
        for (Offset offset = from; offset < end; ++offset) {
            page.records.push_back({offset, source.records[static_cast<std::size_t>(offset - source.firstRetained)].value});
        }
        return page;
    }
    /** Comes back from a copy: drops what was appended since the given time. */
    void returnTo(Duration copied)
    {
        ++m_era;
        for (auto &[name, stream] : m_streams) {
            while (!stream.records.empty() && stream.records.back().appended >= copied) {
                stream.records.pop_back();
            }
        }
    }
    /** Removes the records of all streams that were appended before the given time. */
    void expire(Duration time)
    {
        for (auto &[name, stream] : m_streams) {
            const auto kept = std::find_if(stream.records.begin(), stream.records.end(), [time](const Record &record) {
                return record.appended >= time;
            });
            trim(name, static_cast<std::size_t>(stream.records.end() - kept));
        }
    }
    /** Removes all but the newest records of a stream. */
    void trim(const std::string &name, std::size_t kept)
    {
        Stream &stream = m_streams[name];
        const std::size_t removed = stream.records.size() - std::min(kept, stream.records.size());
        stream.records.erase(stream.records.begin(), stream.records.begin() + static_cast<std::ptrdiff_t>(removed));
        stream.firstRetained += static_cast<Offset>(removed);
    }

private:
    struct Record
    {
        Duration appended;
        Json::Value value;
    };
    struct Stream
    {
        Offset firstRetained = 0;
        std::vector<Record> records;
    };
    LogEra m_era = 1;
    std::map<std::string, Stream> m_streams;
};

} // namespace snipehill::test
