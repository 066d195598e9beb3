#ifndef CAPERPATH_STAND_IN_RESPONSE_STREAM_HPP
#define CAPERPATH_STAND_IN_RESPONSE_STREAM_HPP

#include "stand_in/scheduler.hpp"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace caperpath::stand_in
{

/// Position of each fault on a stream, in tokens sent; -1: no fault. The atomic
/// members may also be set while the stream is open.
struct stream_faults
{
    std::atomic<std::int64_t> cut{-1};
    std::atomic<std::int64_t> silent{-1};
    std::int64_t wrong_id{-1};
    std::int64_t repeat_chunk{-1};
    std::int64_t skip_chunk{-1};
};

/// Options of a response besides its tokens. Immutable value.
struct response_format
{
    std::string model;
    std::int64_t created{}; ///< seconds since the Unix epoch
    bool streamed{false};
    bool include_usage{false};
    std::string finish_reason{"stop"};

    friend bool operator==(response_format const&,
                           response_format const&) = default;
};

/// Functions through which a stream writes to a connection.
struct byte_sink
{
    std::function<bool(std::string const&)>
        write;                      ///< false: caller disconnected
    std::function<bool()> writable; ///< false: caller disconnected
    std::function<void()> done;     ///< ends the response
};

/// Writes one generation to one connection as an OpenAI response. Only one
/// thread may call `advance`; any thread may set the atomic `faults`.
class response_stream
{
public:
    response_stream(std::shared_ptr<generation> source, response_format form);

    /// Waits up to 100 ms for tokens and writes those available. Returns false
    /// if the connection must be closed without ending the response.
    bool advance(byte_sink const& sink);

    stream_faults faults;

private:
    bool send_tokens(byte_sink const& sink, std::int64_t produced);
    bool send_token(byte_sink const& sink);
    bool send_end(byte_sink const& sink);
    bool reaches(std::atomic<std::int64_t> const& fault,
                 std::int64_t reached) const;
    std::string chunk(std::int64_t offset, std::string const& text) const;
    std::string foreign_chunk(std::int64_t offset) const;
    nlohmann::json end_chunk() const;
    nlohmann::json whole() const;
    nlohmann::json usage() const;
    nlohmann::json head(char const* object) const;

    std::shared_ptr<generation> const source;
    response_format const form;
    std::uint64_t const seed;
    std::string const chunk_tail; // common end of all chunks
    std::int64_t next;
    std::int64_t cached_tokens{0};
};

} // namespace caperpath::stand_in

#endif
