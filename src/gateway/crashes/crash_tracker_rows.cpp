#include "gateway/crashes/crash_rows.hpp"
#include "gateway/crashes/crash_tracker.hpp"
#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

/// Takes the rows of other routers, from the store and from datagrams.
namespace caperpath::gateway
{

namespace
{

constexpr duration read_retry_delay{500};

} // namespace

void crash_tracker::read_rows()
{
    auto const before = this->writer.stored_keys();
    auto const causes_before = this->cause_tracker.stored_keys();
    this->port.scan(
        crash_range_begin, crash_range_end,
        [this, before, causes_before](
            std::variant<std::vector<store::row>, error> const& reply)
        {
            auto taken = false;
            run_part(
                this->log, "crash rows",
                [&] { taken = this->take_rows(reply, before, causes_before); });
            if (!taken)
            {
                run_after(this->read_timer, read_retry_delay,
                          [this] { this->read_rows(); });
            }
        });
}

/// Returns false if the rows have to be read again. One that cannot be merged
/// would not be merged the next time, so the others count without it.
bool crash_tracker::take_rows(
    std::variant<std::vector<store::row>, error> const& reply,
    std::vector<std::string> const& before,
    std::vector<std::string> const& causes_before)
{
    if (auto const* fault = std::get_if<error>(&reply))
    {
        this->log.write_error(*fault);
        return false;
    }
    auto const& rows = std::get<std::vector<store::row>>(reply);
    std::set<std::string> found;
    for (auto const& row : rows)
    {
        found.insert(row.key);
    }
    for (auto const& row : rows)
    {
        run_part(this->log, row.key, [&] { this->merge(row); });
    }
    this->remove_missing(before, found);
    this->remove_missing(causes_before, found);
    this->rows_read = true;
    return true;
}

/// Rows may be removed while the changes of the table cannot be followed.
void crash_tracker::remove_missing(std::vector<std::string> const& before,
                                   std::set<std::string> const& found)
{
    for (auto const& key : before)
    {
        if (!found.contains(key))
        {
            this->remove(key);
        }
    }
}

void crash_tracker::remove(std::string const& key)
{
    run_part(this->log, key,
             [&]
             {
                 this->writer.note_removed(key);
                 this->cause_tracker.remove(key);
             });
}

void crash_tracker::merge(std::vector<store::feed_row> const& rows)
{
    for (auto const& row : rows)
    {
        if (row.deleted)
        {
            this->remove(row.key);
            continue;
        }
        run_part(this->log, row.key,
                 [&] {
                     this->merge(store::row{row.key, row.version, row.value});
                 });
    }
}

void crash_tracker::merge(store::row const& row)
{
    auto const request = crash_request(row.key);
    if (!request)
    {
        this->cause_tracker.merge(row, !this->rows_read);
        return;
    }
    this->merge_evidence(*request, row.value, "store");
    this->writer.note_row(row);
}

void crash_tracker::merge_evidence(fleet::fingerprint const& request,
                                   std::string const& value,
                                   std::string const& source)
{
    auto const received = decode_evidence(value);
    if (received && fleet::merge_evidence(this->record, request, *received,
                                          this->now.now()))
    {
        this->log_evidence("crash_told", request, source);
    }
}

void crash_tracker::receive(std::string const& bytes)
{
    auto const decoded =
        value_or_error([&bytes] { return decode_crash_rows(bytes); });
    if (auto const* fault = std::get_if<error>(&decoded))
    {
        this->log.write_error(*fault);
        return;
    }
    for (auto const& [key, value] : std::get<crash_row_values>(decoded))
    {
        if (auto const request = crash_request(key))
        {
            this->announced.insert(*request);
            this->merge_evidence(*request, value, "router");
            continue;
        }
        this->cause_tracker.merge_announced(key, value);
    }
}

} // namespace caperpath::gateway
