#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_CALL_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_CALL_HPP

#include "gateway/message_parser.hpp"
#include "gateway/requests/exchange.hpp"
#include "gateway/servers/rejection_limiter.hpp"
#include "gateway/servers/silence_watch.hpp"

#include <caperpath/fleet/response_origin.hpp>

#include <boost/beast/http/buffer_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace caperpath::gateway
{

/// What the peer of a connection had not acknowledged when that changed last.
struct output_progress
{
    std::size_t unacknowledged{};
    instant since{};
};

/// Why what a server sent cannot be the response to the request.
enum class response_fault
{
    none,
    too_long,  ///< it exceeded the bounds on its size
    no_memory, ///< all responses together did, and it holds much of them
    unproven   ///< its head does not show that it comes from the request's run
};

/// One attempt of a request at one server: sends it, reads the response and
/// relays it to the caller. Loop thread only; used for a single attempt.
class server_call
{
public:
    server_call(exchange& current, fleet::placement const& where);
    ~server_call();

    server_call(server_call const&) = delete;
    server_call& operator=(server_call const&) = delete;

    /// Runs the attempt. On `responded` the whole response was sent to the
    /// caller. On `in_doubt` after a part of it was sent, the stream can resume
    /// after `current.events.last_id()`.
    asio::awaitable<fleet::attempt_outcome> run();

    /// True if the connection to the server has ended or was given up for its
    /// silence, or a probe shows that the server has ended.
    bool lost_connection() const;

    /// True if the server may have no room for the request at the moment.
    bool was_denied() const;

    /// What was wrong with the response that ended the attempt.
    response_fault fault() const;

private:
    using parser = response_parser<http::buffer_body>;

    asio::awaitable<std::optional<fleet::attempt_outcome>> connect();
    std::optional<fleet::attempt_outcome> check_before_send();
    asio::awaitable<std::optional<fleet::attempt_outcome>> wait_for_limit();
    asio::awaitable<std::optional<fleet::attempt_outcome>> wait_for_permit();
    asio::awaitable<void> wait_for_next_send();
    void postpone(duration wait);
    void report_outcome(fleet::send_outcome outcome);
    void send();
    asio::awaitable<bool> wait_for_more();
    void prepare_for_silence(std::size_t request_bytes);
    void set_silence_timeout();
    void check_silence();
    bool accepts_nothing();
    bool may_be_retried();
    bool has_alternative();
    bool reaches_alternative();
    bool give_up_in_silence();
    bool has_ended_in_silence() const;
    asio::awaitable<std::optional<fleet::attempt_outcome>> read_head();
    std::optional<fleet::attempt_outcome> evaluate_head();
    void expect_response();
    bool has_no_body() const;
    asio::awaitable<fleet::attempt_outcome> relay_whole();
    asio::awaitable<fleet::attempt_outcome> relay_events();
    std::optional<fleet::attempt_outcome> parse_input();
    std::optional<fleet::attempt_outcome> early_end();
    fleet::response_origin judge_response();
    void start_response(bool chunked);
    void relay_part(std::string const& part);
    void record_gap();
    void drop_incomplete_event();
    asio::awaitable<bool> broken_off();
    asio::awaitable<bool> takes_whole_request();
    bool may_fail_over();
    response_fault find_excess() const;
    std::size_t held_by_all() const;
    void count_held_bytes();
    bool has_new_input() const;
    fleet::attempt_outcome end_with(response_fault fault);
    fleet::attempt_outcome end_unproven();
    fleet::attempt_outcome
    end_malformed(boost::system::error_code const& fault);
    void record_first_part();
    void release_connection();
    fleet::server* server();

    exchange& current;
    fleet::placement where;
    connection_ptr connection;
    std::unique_ptr<parser> response;
    response_facts facts;
    std::string body; ///< parsed and not relayed yet
    /// Bytes of interim responses and of those to other requests.
    std::size_t skipped{};
    std::size_t unparsed{}; ///< of the input when the parser needed more
    /// Of the body's framing, parsed so far.
    std::size_t framing_bytes{};
    /// Of `body` and the incomplete event, in `core::buffered_bytes`.
    std::size_t counted_bytes{};
    bool parsing_paused{false}; ///< there is input to parse in the next turn
    response_fault found{response_fault::none};
    instant sent_at{};
    std::optional<instant> first_part_at;
    instant latest_part_at{}; ///< @pre `first_part_at`
    bool version_noted{false};
    bool counted_unread{false};
    bool counted_open{false};
    bool reusable{false}; ///< the connection can carry another request
    bool relayed{false};  ///< another router relays the connection
    bool reused{false};   ///< it has carried a response before
    instant silence_check_due{};
    output_progress progress;
    bool given_up{false}; ///< for its silence, to be sent elsewhere
    /// The kernel does not tell how long the server is silent, and another one
    /// could have taken the request when it was sent.
    bool kernel_may_end{false};
    silence_watch silence;
    std::shared_ptr<presence_result> alternative; ///< of another server
    bool crash_watched{false};
    /// Of a send to a brittle server whose outcome is not known yet.
    std::optional<send_permit> permit;
    bool denied{false};              ///< no permit was given
    std::shared_ptr<void> relay_use; ///< keeps the use of the relay counted
};

} // namespace caperpath::gateway

#endif
