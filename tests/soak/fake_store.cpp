#include "soak/fake_store.hpp"

#include "soak/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace caperpath::soak
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{10};
constexpr std::size_t most_rows = 500;

std::string base64(std::string const& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string from_base64(std::string const& text)
{
    std::string bytes(3 * text.size() / 4 + 1, '\0');
    auto const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    auto const padding =
        static_cast<int>(std::count(text.begin(), text.end(), '='));
    bytes.resize(static_cast<std::size_t>(std::max(0, size - padding)));
    return bytes;
}

/// Replaces the first occurrence of each key in the data of the rows.
void replace_in_rows(json& body,
                     std::map<std::string, std::string> const& replaced)
{
    if (replaced.empty() || !body.contains("rows"))
    {
        return;
    }
    for (auto& row : body["rows"])
    {
        auto data = from_base64(row.value("data", ""));
        for (auto const& [from, to] : replaced)
        {
            auto const at = data.find(from);
            if (at != std::string::npos)
            {
                data.replace(at, from.size(), to);
                row["data"] = base64(data);
                break;
            }
        }
    }
}

std::string unescaped(std::string const& text)
{
    std::string all;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%' || i + 2 >= text.size())
        {
            all += text[i];
            continue;
        }
        all += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return all;
}

std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> all;
    auto rest = target.substr(std::min(target.find('?'), target.size()));
    while (!rest.empty())
    {
        rest.erase(0, 1);
        auto const end = std::min(rest.find('&'), rest.size());
        auto const one = rest.substr(0, end);
        auto const equals = std::min(one.find('='), one.size());
        all[one.substr(0, equals)] =
            unescaped(one.substr(std::min(equals + 1, one.size())));
        rest.erase(0, end);
    }
    return all;
}

auto place_of(json const& row)
{
    return std::tuple{row.value("table", ""), row.value("part", ""),
                      row.value("key", "")};
}

} // namespace

fake_store::fake_store(asio::io_context& loop) : loop{loop}
{
    this->add_view({});
}

std::string fake_store::address() const
{
    auto const& at = this->views.front().acceptor;
    return "127.0.0.1:" + std::to_string(at.local_endpoint().port());
}

std::string fake_store::add_view(std::map<std::string, std::string> replaced)
{
    auto& added = this->views.emplace_back(
        view{{this->loop, {asio::ip::make_address("127.0.0.1"), 0}},
             std::move(replaced)});
    asio::co_spawn(this->loop, this->accept(added), asio::detached);
    return "127.0.0.1:" +
           std::to_string(added.acceptor.local_endpoint().port());
}

void fake_store::set_reachable(bool now_reachable)
{
    this->reachable = now_reachable;
    (now_reachable ? this->back_at : this->lost_at) =
        std::chrono::steady_clock::now();
}

bool fake_store::is_reachable() const
{
    return this->reachable;
}

void fake_store::put(std::string const& table, std::string const& key,
                     std::string const& value)
{
    this->version += 1;
    this->write(
        {{"table", table}, {"part", ""}, {"key", key}, {"data", base64(value)}},
        false);
}

void fake_store::remove(std::string const& table, std::string const& key)
{
    this->version += 1;
    this->write({{"table", table}, {"part", ""}, {"key", key}}, true);
}

asio::awaitable<void> fake_store::accept(view& at)
{
    while (true)
    {
        auto socket = co_await at.acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(this->loop, this->serve(std::move(socket), at),
                       asio::detached);
    }
}

asio::awaitable<void> fake_store::serve(tcp::socket socket, view const& at)
{
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    boost::system::error_code fault;
    while (true)
    {
        request got;
        co_await http::async_read(
            stream, buffer, got,
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
        auto const is_write = got.method() == http::verb::post;
        auto const lost = !this->reachable;
        this->lost_writes += lost && is_write ? 1 : 0;
        answer made{http::status::ok, {}};
        if (!lost || (is_write && this->lost_writes % 2 == 0))
        {
            made = co_await this->answer_to(got);
        }
        while (!this->reachable)
        {
            co_await pause(this->loop.get_executor(), poll_interval);
        }
        if (lost)
        {
            co_return; // no further requests on this connection
        }
        replace_in_rows(made.body, at.replaced);
        http::response<http::string_body> sent{made.status, got.version()};
        sent.body() = made.body.dump();
        sent.prepare_payload();
        co_await http::async_write(
            stream, sent, asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
    }
}

asio::awaitable<fake_store::answer> fake_store::answer_to(request const& got)
{
    std::string const target{got.target()};
    if (target.starts_with("/-/rows-tx"))
    {
        co_return this->commit(json::parse(got.body()));
    }
    auto of = query_of(target);
    if (target.starts_with("/-/rows-get"))
    {
        co_return this->range(of);
    }
    if (target.starts_with("/-/rows-feed"))
    {
        co_return co_await this->changes(of);
    }
    co_return answer{http::status::not_found, json::object()};
}

asio::awaitable<fake_store::answer> fake_store::changes(parameters of)
{
    auto const since = std::stoull(of["since-revision"]);
    auto const end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds{std::stoll(of["wait-ms"])};
    while (true)
    {
        auto found = json::array();
        auto const& all = this->history[of["table"]];
        auto const first = std::partition_point(
            all.begin(), all.end(),
            [since](json const& row)
            { return row["schema-version"].get<std::uint64_t>() <= since; });
        std::copy(first, all.end(), std::back_inserter(found));
        if (!found.empty() || std::chrono::steady_clock::now() >= end)
        {
            co_return answer{http::status::ok, this->page(found)};
        }
        co_await pause(this->loop.get_executor(), poll_interval);
    }
}

fake_store::answer fake_store::range(parameters of) const
{
    auto limit = of["limit"].empty() ? most_rows : std::stoul(of["limit"]);
    auto found = json::array();
    auto at = this->rows.lower_bound({of["table"], of["part"], of["source"]});
    auto const is_within = [&]
    {
        auto const& [table, part, key] = at->first;
        return table == of["table"] && part == of["part"] &&
               (of["to"].empty() || key < of["to"]);
    };
    for (; at != this->rows.end() && is_within() && limit > 0; ++at, --limit)
    {
        found.push_back(at->second);
    }
    auto const more = at != this->rows.end() && is_within();
    auto body = this->page(found);
    body["has-more"] = more;
    return {http::status::ok, std::move(body)};
}

bool fake_store::holds(json const& expected) const
{
    auto const found = this->rows.find(place_of(expected));
    auto const now =
        found == this->rows.end() ? json(0U) : found->second["schema-version"];
    return expected["schema-version"] == now;
}

fake_store::answer fake_store::commit(json const& transaction)
{
    auto const& expected = transaction["expect"];
    if (!std::all_of(expected.begin(), expected.end(),
                     [this](json const& one) { return this->holds(one); }))
    {
        auto found = json::array();
        for (auto const& one : expected)
        {
            auto const row = this->rows.find(place_of(one));
            if (row != this->rows.end())
            {
                found.push_back(row->second);
            }
        }
        return {http::status::precondition_failed, this->page(found)};
    }
    this->version += 1;
    for (auto const& row : transaction["write"])
    {
        this->write(row, false);
    }
    for (auto const& row : transaction["delete"])
    {
        this->write(row, true);
    }
    return {http::status::ok, this->page(json::array())};
}

void fake_store::write(json row, bool deleted)
{
    row["schema-version"] = this->version;
    auto const place = place_of(row);
    if (deleted)
    {
        this->rows.erase(place);
        row["deleted"] = true;
    }
    else
    {
        this->rows[place] = row;
    }
    this->history[std::get<0>(place)].push_back(std::move(row));
}

json fake_store::page(json const& rows) const
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    return {{"rows", rows},
            {"schema-version", this->version},
            {"now-ms", now.count()}};
}

} // namespace caperpath::soak
