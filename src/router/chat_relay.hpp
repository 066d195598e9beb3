#ifndef CAPERPATH_SRC_ROUTER_CHAT_RELAY_HPP
#define CAPERPATH_SRC_ROUTER_CHAT_RELAY_HPP

#include "filters/context.hpp"
#include "http/exchange.hpp"

#include <caperpath/request/answer.hpp>
#include <caperpath/request/sse.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::router
{

/// What comes next of an answer.
struct relay_event
{
    enum class kind
    {
        token,    ///< `text` is the next token
        finished, ///< the answer is whole; `text` is the finish reason
        failed    ///< no more will come; see `refusal`
    };

    kind what{kind::failed};
    std::string text;
    request::refusal refusal;
};

/// Gets one chat answer from backend servers, over as many attempts as are
/// allowed: a broken or silent connection is closed and the answer goes on at
/// the next token from another connection. The caller sees each token once.
/// Used by one thread; blocks.
class chat_relay
{
public:
    /// @pre `request` outlives the relay and holds a chat request.
    explicit chat_relay(filters::context& request);

    /// Cancels what is still open.
    ~chat_relay();

    chat_relay(chat_relay const&) = delete;
    chat_relay& operator=(chat_relay const&) = delete;

    /// The next event; `failed` and `finished` are the last.
    relay_event next();

    /// The caller has left: cancels at the engine. Idempotent.
    void abandon();

    /// What has been used so far; what the engine counted once it has.
    request::usage used() const;

private:
    routing::choose_reply choose(int attempt) const;
    std::optional<relay_event> begin_attempt();
    std::optional<relay_event> open_attempt(routing::choose_reply chosen);
    std::optional<relay_event> take(http::exchange_event const& event);
    std::optional<relay_event> take_head(http::exchange_event const& head);
    std::optional<relay_event> take_data(std::string const& data);
    std::optional<relay_event> take_chunk(std::string const& chunk);
    std::optional<relay_event> retry_after_failure(std::string const& why);
    std::optional<relay_event> retry_after_silence();
    void give_up_attempt(std::string const& why,
                         routing::attempt_result result);
    void end_attempt(routing::attempt_result result);
    relay_event fail(int status, std::string code, std::string message,
                     duration retry_after = {});
    duration next_bound() const;
    bool time_is_up() const;
    bool is_given_up() const;
    http::exchange_request wire_request() const;

    filters::context& request;
    request::chat_request const& chat;
    request::answer_state answer;
    std::vector<backend_server_id> avoid;
    routing::choose_reply target;
    std::shared_ptr<http::exchange> open;
    std::optional<observe::span_builder> span;
    request::sse_splitter splitter;
    request::gap_tracker gaps;
    std::deque<relay_event> ready;
    instant last_token;
    int silences{0}; ///< in a row on this connection, without another to go to
    bool token_in_attempt{false};
    bool accepted_head{false};
    bool may_have_run{false};
    bool unanswered{false}; ///< nothing came back for the open attempt
    bool read_to_end{false};
};

} // namespace caperpath::router

#endif
