#include "gateway/fake_store.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace caperpath::gateway
{

namespace
{

error const no_response{error_kind::timeout, "call", "store", "no answer"};
constexpr std::chrono::milliseconds call_timeout{50};

} // namespace

fake_store::fake_store(boost::asio::io_context& loop) : loop{loop}
{
}

void fake_store::copy_contents(fake_store const& other)
{
    this->version = other.version;
    this->rows = other.rows;
    this->tables = other.tables;
    this->history = other.history;
    this->now_ms = other.now_ms;
    this->silent_prefix = other.silent_prefix;
}

void fake_store::post_reply(std::function<void()> reply)
{
    if (this->reachable)
    {
        boost::asio::post(this->loop, std::move(reply));
        return;
    }
    auto const timer =
        std::make_shared<boost::asio::steady_timer>(this->loop, call_timeout);
    timer->async_wait([timer, reply = std::move(reply)](auto const&)
                      { reply(); });
}

store::commit_result fake_store::commit(store::transaction const& txn)
{
    store::commit_result conflict{
        store::commit_outcome::rejected, {}, no_response};
    for (auto const& one : txn.conditions)
    {
        auto const found = this->rows.find(one.key);
        auto const now = found == this->rows.end() ? store::row{one.key, 0, ""}
                                                   : found->second;
        if (now.version != one.version)
        {
            conflict.failed.push_back(now);
        }
    }
    if (!conflict.failed.empty())
    {
        return conflict;
    }
    this->version += 1;
    for (auto const& one : txn.writes)
    {
        if (one.value)
        {
            this->rows[one.key] = {one.key, this->version, *one.value};
        }
        else
        {
            this->rows.erase(one.key);
        }
    }
    return {
        store::commit_outcome::applied, {}, {}, this->version, this->now_ms};
}

void fake_store::put(std::string const& table, std::string const& key,
                     std::optional<std::string> value)
{
    this->version += 1;
    if (value)
    {
        this->tables[table][key] = *value;
    }
    else
    {
        this->tables[table].erase(key);
    }
    this->history.push_back(
        {this->version, table, {key, value.value_or(""), !value}});
    this->reply_to_follows();
}

std::string fake_store::router_row(std::string const& key) const
{
    auto const found = this->rows.find(key);
    return found == this->rows.end() ? std::string{} : found->second.value;
}

std::map<std::string, std::string>
fake_store::router_rows(std::string const& prefix) const
{
    std::map<std::string, std::string> found;
    for (auto const& [key, row] : this->rows)
    {
        if (key.starts_with(prefix))
        {
            found[key] = row.value;
        }
    }
    return found;
}

std::size_t fake_store::count_router_rows(std::string const& prefix) const
{
    return this->router_rows(prefix).size();
}

store::feed_page fake_store::list(std::string const& table) const
{
    store::feed_page page;
    page.version = this->version;
    auto const found = this->tables.find(table);
    if (found != this->tables.end())
    {
        for (auto const& [key, value] : found->second)
        {
            page.rows.push_back({key, value, false});
        }
    }
    return page;
}

store::feed_page fake_store::changes(std::string const& table,
                                     std::uint64_t since) const
{
    store::feed_page page;
    page.version = this->version;
    for (auto const& one : this->history)
    {
        if (one.table == table && one.version > since)
        {
            page.rows.push_back(one.row);
        }
    }
    return page;
}

void fake_store::reply_to_follows()
{
    if (!this->reachable)
    {
        return;
    }
    auto const all = std::exchange(this->pending_follows, {});
    for (auto const& one : all)
    {
        auto const page = this->changes(one.table, one.since);
        if (page.rows.empty())
        {
            this->pending_follows.push_back(one);
            continue;
        }
        this->post_reply([done = one.done, page] { done(page); });
    }
}

void fake_store::begin_call() const
{
    if (this->before_call)
    {
        this->before_call();
    }
}

store::async_port fake_store::port()
{
    store::async_port port;
    port.commit = [this](store::transaction const& txn,
                         std::function<void(store::commit_result)> const& done)
    {
        this->begin_call();
        auto const is_rejected =
            !this->rejected_prefix.empty() && !txn.writes.empty() &&
            txn.writes.front().key.starts_with(this->rejected_prefix);
        if (is_rejected || this->writes_to_reject > 0)
        {
            this->writes_to_reject -= is_rejected ? 0 : 1;
            store::commit_result const busy{
                store::commit_outcome::rejected, {}, no_response};
            this->post_reply([done, busy] { done(busy); });
            return;
        }
        auto const applied = this->reachable;
        auto result = applied ? this->commit(txn) : store::commit_result{};
        if (!applied || this->loses_responses)
        {
            result = {store::commit_outcome::unknown, {}, no_response};
        }
        this->post_reply([done, result] { done(result); });
    };
    port.read = [this](std::string const& key,
                       store::result_callback<store::row> const& done)
    {
        this->begin_call();
        auto const found = this->rows.find(key);
        auto const row =
            found == this->rows.end() ? store::row{key, 0, ""} : found->second;
        auto const silent = !this->silent_prefix.empty() &&
                            key.starts_with(this->silent_prefix);
        auto const lost = !this->reachable || silent;
        this->post_reply([done, row, lost]
                         { lost ? done(no_response) : done(row); });
    };
    port.scan =
        [this](std::string const& first, std::string const& last,
               store::result_callback<std::vector<store::row>> const& done)
    {
        this->begin_call();
        std::vector<store::row> found;
        for (auto const& [key, row] : this->rows)
        {
            if (key >= first && key < last)
            {
                found.push_back(row);
            }
        }
        auto const silent = !this->silent_prefix.empty() &&
                            first.starts_with(this->silent_prefix);
        auto const lost = !this->reachable || silent;
        this->post_reply([done, found, lost]
                         { lost ? done(no_response) : done(found); });
    };
    port.list = [this](std::string const& table, duration,
                       store::result_callback<store::feed_page> const& done)
    {
        this->begin_call();
        auto const lost = !this->reachable;
        this->post_reply([done, page = this->list(table), lost]
                         { lost ? done(no_response) : done(page); });
    };
    port.follow = [this](std::string const& table, std::uint64_t since,
                         duration, duration,
                         store::result_callback<store::feed_page> const& done)
    {
        this->begin_call();
        if (!this->reachable)
        {
            this->post_reply([done] { done(no_response); });
            return;
        }
        this->pending_follows.push_back({table, since, done});
        this->reply_to_follows();
    };
    return port;
}

} // namespace caperpath::gateway
