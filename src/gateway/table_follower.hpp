#ifndef CAPERPATH_SRC_GATEWAY_TABLE_FOLLOWER_HPP
#define CAPERPATH_SRC_GATEWAY_TABLE_FOLLOWER_HPP

#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace caperpath::gateway
{

/// A change must be in force within two seconds of its acknowledgement; half of
/// them are left for the read that follows a silent connection.
inline constexpr duration usual_hold{600};

/// Whom a follower tells what it saw.
struct table_listener
{
    /// The whole table; what is not in it does not exist.
    std::function<void(store::feed_page const&)> listed;

    /// Rows that changed.
    std::function<void(store::feed_page const&)> changed;

    /// A call was answered, or a second one in a row was not.
    std::function<void(bool reachable, error const& why)> reached;

    /// The first call that was not answered; if not set, nobody is told.
    std::function<void(error const& why)> missed{};

    /// The pause before the next call for changes, so that a table that changes
    /// all the time does not cost a call a change; if not set, there is none.
    std::function<duration()> pause{};

    /// How long the store holds a call without changes. A connection that went
    /// silent is noticed after this and the time for an answer.
    duration hold{usual_hold};

    /// The hold grows up to this while no call is lost; if not set, it does
    /// not. Less than the time for which the store keeps its history, or a lost
    /// call reads the table anew.
    duration longest_hold{};
};

/// Keeps up with a table that others write: reads it whole, then follows its
/// changes. After a lost call it goes on from the version that it knows. When
/// the store has dropped that part of its history, or after an outage, it reads
/// the table whole again: a gap that is not noticed leaves a revoked key or a
/// stopped server in force.
/// Loop thread only; outlives its calls.
class table_follower
{
public:
    /// `salt` is another one in each router.
    table_follower(boost::asio::any_io_executor const& executor,
                   store::async_port port, std::string table,
                   table_listener listener, std::size_t salt);

    /// Begins; call once.
    void start();

    /// Asks again at once if the store holds a call: it may be lost as well
    /// when another call to the store was.
    void renew();

private:
    void list();
    void follow(duration hold);
    void follow_on();
    void after(duration pause, std::function<void()> next);
    void retry(error const& why);

    store::async_port port;
    std::string table;
    table_listener listener;
    std::size_t salt;
    boost::asio::steady_timer timer;
    std::uint64_t version{};
    duration hold{};       ///< of the next call for changes
    bool held{false};      ///< the store holds a call for changes
    std::uint64_t asked{}; ///< calls for changes; only the last one counts
    bool listed{false};    ///< all changes up to `version` are known
    int failures{};        ///< calls in a row without an answer
    int missed_changes{};  ///< calls for changes in a row without an answer
};

} // namespace caperpath::gateway

#endif
