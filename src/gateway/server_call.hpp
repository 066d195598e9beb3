#ifndef CAPERPATH_SRC_GATEWAY_SERVER_CALL_HPP
#define CAPERPATH_SRC_GATEWAY_SERVER_CALL_HPP

#include "gateway/exchange.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace caperpath::gateway
{

/// One attempt of a request at one server: sends it, reads the answer, and
/// passes it on. Loop thread only; used for one attempt.
class server_call
{
public:
    server_call(exchange& of, fleet::placement const& where);
    ~server_call();

    server_call(server_call const&) = delete;
    server_call& operator=(server_call const&) = delete;

    /// Carries the attempt out. When it returns `answered`, the caller has the
    /// whole answer; `in_doubt` after a part of it went out means that the
    /// stream stands at `of.events.last_id()`.
    asio::awaitable<fleet::attempt_end> run();

    /// True when the server's side of the connection has ended.
    bool lost_connection() const;

private:
    using parser = http::response_parser<http::buffer_body>;

    asio::awaitable<std::optional<fleet::attempt_end>> connect();
    void send();
    asio::awaitable<std::optional<fleet::attempt_end>> read_head();
    std::optional<fleet::attempt_end> judge_head();
    asio::awaitable<fleet::attempt_end> pass_whole();
    asio::awaitable<fleet::attempt_end> pass_events();
    std::optional<fleet::attempt_end> parse_more();
    std::optional<fleet::attempt_end> ended_early();
    bool skip_foreign_answer();
    void begin_answer(bool chunked);
    void pass_piece(std::string const& piece);
    bool may_fail_over();
    void note_first_part();
    void finish_connection();
    fleet::server* server();

    exchange& of;
    fleet::placement where;
    connection_ptr connection;
    std::unique_ptr<parser> answer;
    answer_facts facts;
    std::string body; ///< parsed and not passed on yet
    instant sent_at{};
    std::optional<instant> first_part_at;
    bool unread_counted{false};
    bool counted{false};
    bool clean{false}; ///< the answer ended where the next may begin
};

} // namespace caperpath::gateway

#endif
