#ifndef CAPERPATH_TESTS_SOAK_FAKE_STORE_HPP
#define CAPERPATH_TESTS_SOAK_FAKE_STORE_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace caperpath::soak
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using json = nlohmann::json;

/// In-memory fake of the platform's metadata store over HTTP: transactions,
/// ranges and feeds of rows. Loop thread only.
class fake_store
{
public:
    explicit fake_store(asio::io_context& loop);

    std::string address() const;

    /// Opens another address of the same store. Calls to it see `replaced`, a
    /// part of the rows' data, as the text that it maps to. Returns its
    /// "IP:port".
    std::string add_view(std::map<std::string, std::string> replaced);

    /// Writes a row as an operator would.
    void put(std::string const& table, std::string const& key,
             std::string const& value);

    /// Removes such a row.
    void remove(std::string const& table, std::string const& key);

    /// While false, calls get no response, but every other write is applied.
    void set_reachable(bool now_reachable);

    bool is_reachable() const;

    /// Begin and end of the latest outage.
    std::chrono::steady_clock::time_point lost_at{};
    std::chrono::steady_clock::time_point back_at{};

private:
    using request = http::request<http::string_body>;
    using parameters = std::map<std::string, std::string>;
    using replacements = std::map<std::string, std::string>;
    struct view
    {
        tcp::acceptor acceptor;
        replacements replaced;
    };
    struct answer
    {
        http::status status;
        json body;
    };

    asio::awaitable<void> accept(view& at);
    asio::awaitable<void> serve(tcp::socket socket, view const& at);
    asio::awaitable<answer> answer_to(request const& got);
    asio::awaitable<answer> changes(parameters of);
    answer range(parameters of) const;
    answer commit(json const& transaction);
    bool holds(json const& expected) const;
    void write(json row, bool deleted);
    json page(json const& rows) const;

    asio::io_context& loop;
    std::deque<view> views; ///< the first one replaces nothing
    std::uint64_t version{1};
    std::uint64_t lost_writes{};
    bool reachable{true};
    /// By table, part and key.
    std::map<std::tuple<std::string, std::string, std::string>, json> rows;
    std::map<std::string, std::vector<json>> history; ///< by table
};

} // namespace caperpath::soak

#endif
