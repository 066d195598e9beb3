#ifndef CAPERPATH_SRC_GATEWAY_SPEND_KEEPER_HPP
#define CAPERPATH_SRC_GATEWAY_SPEND_KEEPER_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/spend_journal.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace caperpath::gateway
{

/// Whom a spend keeper asks and tells.
struct spend_listener
{
    /// The lines that the budgets need now.
    std::function<std::map<budget_id, budget::spend_line>()> wanted;

    /// A row that this router wants to write with the next spend row, if it is
    /// time for one.
    std::function<std::optional<store::row_write>()> with_it;

    /// The pause between two rows while nobody waits for a line.
    std::function<duration()> pause;

    /// The limits may have changed.
    std::function<void()> changed;

    /// Called once, before the first limit above zero: the dead router that had
    /// this address, with the most that it can have spent. From then on
    /// `wanted` holds at least that for each budget whose share may be renamed:
    /// read with a lower line, what the dead router had spent would be spent
    /// again.
    std::function<void(incarnation_id const& dead,
                       std::map<budget_id, budget::spend_line> const& left)>
        inherit;
};

/// Keeps this router's spend row in the store and reads that of the router
/// before it. Loop thread only; outlives its calls, and `log` outlives it.
class spend_keeper
{
public:
    spend_keeper(boost::asio::any_io_executor const& executor,
                 store::async_port port, std::string vm, std::string address,
                 incarnation_id self, spend_listener listener,
                 decision_log& log);

    /// Begins; call once the own address is bound: that proves that the router
    /// which had it is dead.
    void start();

    /// A reservation waits for a higher line.
    void hurry();

    /// The most that may be spent of what is held at `at`, now or later, if the
    /// store is not heard until then.
    token_count limit(budget_id const& budget, budget::held_tokens const& held,
                      instant at) const;

    /// The store has a row that was written since `at`.
    bool has_written_since(instant at) const;

    /// True when limits above zero may be given.
    bool ready() const;

private:
    void read_old();
    void take_old(store::row const& row);
    void first_write();
    void first_wrote(store::commit_result const& result);
    void send(std::map<budget_id, budget::spend_line> const& lines,
              std::function<void(store::commit_result const&)> done);
    void write();
    void wrote(store::commit_result const& result);
    void refused(store::commit_result const& result);
    void after(duration pause, std::function<void()> next);

    boost::asio::steady_timer timer;
    store::async_port port;
    std::string vm;
    spend_listener listener;
    decision_log& log;
    caperpath::clock now{caperpath::clock::monotonic()};
    budget::spend_journal journal;
    std::optional<budget::spend_row> old; ///< of the router before
    instant began{};                      ///< the own address was bound
    instant first_sent{};                 ///< the latest try of the first write
    instant sent_at{};                    ///< the write under way
    instant written_for{}; ///< when the row that the store has was sent
    bool writing{false};
    bool started{false};
    bool hurried{false};
};

} // namespace caperpath::gateway

#endif
