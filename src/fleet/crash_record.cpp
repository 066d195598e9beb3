#include <caperpath/fleet/crash_record.hpp>

#include <algorithm>
#include <iterator>

namespace caperpath::fleet
{

namespace
{

duration lifetime(crash_entry const& entry)
{
    return judge(entry.evidence) == crash_verdict::quarantined ? quarantine_time
                                                               : suspicion_time;
}

/// If the record is full, evicts the oldest of the entries with the fewest
/// crashes.
void make_room(crash_record& record)
{
    if (record.entries.size() < most_crash_entries)
    {
        return;
    }
    auto const less = [](auto const& a, auto const& b)
    {
        auto const rank = [](crash_entry const& entry)
        {
            return std::pair{entry.evidence.crashes, entry.noted_at};
        };
        return rank(a.second) < rank(b.second);
    };
    record.entries.erase(
        std::min_element(record.entries.begin(), record.entries.end(), less));
}

/// Keeps the least ones, so that the order of additions does not matter.
void add_process(crash_evidence& evidence, std::uint64_t process)
{
    evidence.processes.insert(process);
    if (evidence.processes.size() > most_crashed_processes)
    {
        evidence.processes.erase(std::prev(evidence.processes.end()));
    }
}

} // namespace

crash_verdict judge(crash_evidence const& evidence)
{
    if (evidence.crashes >= crashes_to_quarantine)
    {
        return crash_verdict::quarantined;
    }
    if (evidence.crashes >= crashes_to_probation ||
        std::ssize(evidence.processes) >= crashes_to_probation)
    {
        return crash_verdict::on_probation;
    }
    return evidence.crashes > 0 ? crash_verdict::suspected
                                : crash_verdict::clear;
}

crash_evidence merge(crash_evidence const& a, crash_evidence const& b)
{
    if (a.cleared != b.cleared)
    {
        return a.cleared > b.cleared ? a : b;
    }
    auto both = a;
    both.crashes = std::max(a.crashes, b.crashes);
    for (auto const process : b.processes)
    {
        add_process(both, process);
    }
    return both;
}

crash_evidence evidence_of(crash_record const& record,
                           fingerprint const& request)
{
    auto const found = record.entries.find(request);
    return found == record.entries.end() ? crash_evidence{}
                                         : found->second.evidence;
}

bool merge_evidence(crash_record& record, fingerprint const& request,
                    crash_evidence const& reported, instant now)
{
    auto found = record.entries.find(request);
    if (found == record.entries.end())
    {
        make_room(record);
        record.entries.emplace(request, crash_entry{reported, now});
        return true;
    }
    auto const both = merge(found->second.evidence, reported);
    if (both == found->second.evidence)
    {
        return false;
    }
    found->second = {both, now};
    return true;
}

crash_evidence note_crash(crash_record& record, fingerprint const& request,
                          crash_evidence const& known, std::uint64_t process,
                          instant now)
{
    auto updated = known;
    updated.crashes = std::min(updated.crashes + 1, crashes_to_quarantine);
    add_process(updated, process);
    merge_evidence(record, request, updated, now);
    return evidence_of(record, request);
}

bool note_response(crash_record& record, fingerprint const& request,
                   instant now)
{
    auto const known = evidence_of(record, request);
    return known.crashes > 0 &&
           merge_evidence(record, request, {known.cleared + 1, 0, {}}, now);
}

std::vector<fingerprint> forget_old(crash_record& record, instant now)
{
    std::vector<fingerprint> expired;
    for (auto const& [request, entry] : record.entries)
    {
        if (now - entry.noted_at >= lifetime(entry))
        {
            expired.push_back(request);
        }
    }
    for (auto const& request : expired)
    {
        record.entries.erase(request);
    }
    return expired;
}

duration quarantine_left(crash_record const& record, fingerprint const& request,
                         instant now)
{
    auto const found = record.entries.find(request);
    if (found == record.entries.end() ||
        judge(found->second.evidence) != crash_verdict::quarantined)
    {
        return duration{0};
    }
    auto const left = found->second.noted_at + quarantine_time - now;
    return std::max(left, duration{0});
}

} // namespace caperpath::fleet
