#ifndef CAPERPATH_SRC_ROUTER_CHAT_RELAY_HPP
#define CAPERPATH_SRC_ROUTER_CHAT_RELAY_HPP

#include "filters/context.hpp"
#include "http/exchange.hpp"

#include <caperpath/request/response.hpp>
#include <caperpath/request/sse.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::router
{

/// The next event of a response.
struct relay_event
{
    enum class kind
    {
        token,    ///< `text` is the next token
        finished, ///< the response is complete; `text` is the finish reason
        failed    ///< no more events follow; see `rejection`
    };

    kind type{kind::failed};
    std::string text;
    request::rejection rejection;
};

/// Relays one chat response from backend servers, within the limit of attempts:
/// closes a broken or silent connection and resumes the response at the next
/// token on another one. The caller gets each token once. Used by one thread;
/// blocks.
class chat_relay
{
public:
    /// @pre `request` outlives the relay and holds a chat request.
    explicit chat_relay(filters::context& request);

    /// Cancels an open attempt.
    ~chat_relay();

    chat_relay(chat_relay const&) = delete;
    chat_relay& operator=(chat_relay const&) = delete;

    /// Returns the next event; no event follows `failed` or `finished`.
    relay_event next();

    /// Cancels the open attempt at the engine. Idempotent.
    void abandon();

    /// Usage so far: the engine's count once received, before that an estimate.
    request::usage used() const;

private:
    routing::choose_reply choose(int attempt) const;
    std::optional<relay_event> begin_attempt();
    std::optional<relay_event> open_attempt(routing::choose_reply chosen);
    std::optional<relay_event> handle_event(http::exchange_event const& event);
    std::optional<relay_event> handle_head(http::exchange_event const& head);
    std::optional<relay_event> handle_data(std::string const& data);
    std::optional<relay_event> handle_chunk(std::string const& chunk);
    std::optional<relay_event> retry_after_failure(std::string const& reason);
    std::optional<relay_event> retry_after_silence();
    void fail_attempt(std::string const& reason,
                      routing::attempt_result result);
    void end_attempt(routing::attempt_result result);
    relay_event fail(int status, std::string code, std::string message,
                     duration retry_after = {});
    duration next_timeout() const;
    bool deadline_passed() const;
    bool is_aborted() const;
    http::exchange_request wire_request() const;

    filters::context& request;
    request::chat_request const& chat;
    request::response_state response;
    std::vector<backend_server_id> excluded;
    routing::choose_reply target;
    std::shared_ptr<http::exchange> open;
    std::optional<observe::span_builder> span;
    request::sse_splitter splitter;
    request::gap_tracker gaps;
    std::deque<relay_event> ready;
    instant last_token;
    /// Consecutive, on this connection, without another server to choose.
    int silence_count{0};
    bool token_in_attempt{false};
    bool accepted_head{false};
    bool may_have_run{false};
    bool awaiting_response{false}; ///< the open attempt got no event yet
    bool fully_read{false};
};

} // namespace caperpath::router

#endif
