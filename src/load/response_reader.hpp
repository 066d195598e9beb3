#ifndef CAPERPATH_SRC_LOAD_RESPONSE_READER_HPP
#define CAPERPATH_SRC_LOAD_RESPONSE_READER_HPP

#include <caperpath/request/sse.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::load
{

/// The part of one chat response read so far.
struct received_response
{
    std::string text;
    std::string finish_reason;
    bool done{false};          ///< last event or complete body received
    std::string error_code;    ///< of an error event in the stream
    std::string error_outcome; ///< outcome in that event
    std::int64_t prompt_tokens{};
    std::int64_t completion_tokens{};
    std::int64_t first_token_us{-1};
    std::int64_t last_token_us{-1};
    std::vector<std::int64_t> gap_us;

    friend bool operator==(received_response const&,
                           received_response const&) = default;
};

/// Reads a streamed response in pieces. Not thread safe.
class stream_reader
{
public:
    /// Parses `piece`, received at `now_us`.
    void feed(std::string_view piece, std::int64_t now_us);

    received_response const& response() const;

private:
    void take(std::string_view event, std::int64_t now_us);

    request::sse_splitter splitter;
    received_response read;
};

/// Reads a response in one piece, received at `now_us`. Thread safe.
received_response read_complete(std::string_view body, std::int64_t now_us);

/// Returns the code of an OpenAI error object, or else its type, or an empty
/// string. Thread safe.
std::string error_code(std::string_view body);

enum class verdict
{
    complete, ///< exactly the response of the engine emulator
    cut,      ///< the beginning of that response
    wrong     ///< a token is duplicate, missing or of another request
};

/// Compares a response with the expected response of the engine emulator to a
/// request with `prompt` in one user message. Thread safe.
verdict check_response(std::string const& prompt, std::int64_t max_tokens,
                       received_response const& answer);

} // namespace caperpath::load

#endif
