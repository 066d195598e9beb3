#include "gateway/requests/stream_packet.hpp"
#include "gateway/requests/stream_rows.hpp"
#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <caperpath/fleet/placement.hpp>

#include <string_view>
#include <utility>

/// Reads all rows of streams and versions, and writes the own one.
namespace caperpath::gateway
{

namespace
{

/// The suffix of a key is its partition. A partition applies its transactions
/// one after the other, so the rows of routers are spread over several.
constexpr std::size_t stream_partitions = 8;
constexpr std::string_view stream_begin = "streams/";
/// '0' is the character after '/', so the ranges hold all rows.
constexpr char version_range_begin[] = "versions//versions";
constexpr char version_range_end[] = "versions0/versions";

std::string partition(std::size_t number)
{
    return "/p" + std::to_string(number);
}

std::string stream_key_of_vm(std::string const& vm)
{
    return std::string{stream_begin} + vm +
           partition(fleet::stable_hash(vm) % stream_partitions);
}

std::string encode_row(fleet::streams_by_source const& streams)
{
    stream_packet packet;
    packet.notes.reserve(streams.size());
    for (auto const& [source, keys] : streams)
    {
        packet.notes.push_back({source, keys});
    }
    return encode(packet);
}

} // namespace

void stream_rows::read(std::function<void(bool)> done)
{
    this->waiting_for_next.push_back(std::move(done));
    if (this->current.missing > 0 || this->waiting_for_next.size() > 1)
    {
        return;
    }
    auto const next =
        this->read_at + fleet::record_read_interval(this->routers);
    auto const pause = next - this->now.now();
    if (pause <= duration{0})
    {
        this->begin_read();
        return;
    }
    run_after(this->read_timer, pause, [this] { this->begin_read(); });
}

void stream_rows::begin_read()
{
    this->read_at = this->now.now();
    this->current = {stream_partitions + 1, false,
                     std::exchange(this->waiting_for_next, {})};
    for (std::size_t i = 0; i < stream_partitions; ++i)
    {
        this->scan("streams/" + partition(i), "streams0" + partition(i),
                   [this](auto const& rows) { this->take_streams(rows); });
    }
    this->scan(version_range_begin, version_range_end,
               [this](auto const& rows)
               {
                   for (auto const& row : rows)
                   {
                       this->take_version_row(row);
                   }
               });
}

void stream_rows::scan(std::string const& first, std::string const& last,
                       std::function<void(std::vector<store::row> const&)> take)
{
    this->port.scan(
        first, last,
        [this, take = std::move(take)](
            std::variant<std::vector<store::row>, error> const& reply)
        {
            auto const* const fault = std::get_if<error>(&reply);
            auto const done =
                run_part(this->log, "read stream rows",
                         [&]
                         {
                             if (fault != nullptr)
                             {
                                 this->log.write_error(*fault);
                                 return;
                             }
                             take(std::get<std::vector<store::row>>(reply));
                         });
            this->end_part(fault != nullptr || !done);
        });
}

void stream_rows::end_part(bool failed)
{
    auto& reading = this->current;
    reading.failed = reading.failed || failed;
    reading.missing -= 1;
    if (reading.missing > 0)
    {
        return;
    }
    if (!reading.failed)
    {
        this->read_once = true;
        this->write_soon();
    }
    for (auto const& done : std::exchange(reading.waiting, {}))
    {
        // The others wait for it, too.
        run_part(this->log, "stream rows", [&] { done(!reading.failed); });
    }
    if (!this->waiting_for_next.empty())
    {
        run_after(this->read_timer, fleet::record_read_interval(this->routers),
                  [this] { this->begin_read(); });
    }
}

void stream_rows::take_streams(std::vector<store::row> const& rows)
{
    auto const own_key = stream_key_of_vm(this->vm);
    for (auto const& row : rows)
    {
        auto& seen = this->seen_rows[row.key];
        if (seen == row.version)
        {
            continue;
        }
        auto const decoded =
            value_or_error([&row] { return decode_stream_packet(row.value); });
        if (auto const* fault = std::get_if<error>(&decoded))
        {
            // Also a row of a release with another format.
            seen = row.version;
            this->log.write_error(*fault);
            continue;
        }
        fleet::streams_by_source streams;
        for (auto const& note : std::get<stream_packet>(decoded).notes)
        {
            streams[note.source] = note.streams;
        }
        if (row.key == own_key && !this->read_once)
        {
            this->own.inherit(streams, this->now.now());
        }
        seen = row.version;
        this->handlers.on_streams(streams);
    }
}

void stream_rows::write_soon()
{
    if (this->write_scheduled || this->writing || !this->own.has_changed() ||
        !this->read_once)
    {
        return;
    }
    this->write_scheduled = true;
    run_after(this->write_timer, this->interval(), [this] { this->write(); });
}

/// The row holds only facts that stay true, so a late write of an older one
/// does no harm.
void stream_rows::write()
{
    this->write_scheduled = false;
    store::transaction txn;
    txn.writes.push_back({stream_key_of_vm(this->vm),
                          encode_row(this->own.take_row(this->now.now()))});
    this->port.commit(txn,
                      [this](store::commit_result const& result)
                      {
                          this->writing = false;
                          if (result.outcome != store::commit_outcome::applied)
                          {
                              this->log.write_error(result.fault);
                              this->own.note_lost_row();
                          }
                          this->write_soon();
                      });
    this->writing = true;
}

} // namespace caperpath::gateway
