#ifndef CAPERPATH_SRC_GATEWAY_BUDGETS_SPEND_ROW_WRITER_HPP
#define CAPERPATH_SRC_GATEWAY_BUDGETS_SPEND_ROW_WRITER_HPP

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

/// Callbacks through which the spend row is filled and its changes are
/// reported. An exception of one of them is logged.
struct spend_listener
{
    /// Returns the spend limits that the budgets need now.
    std::function<std::map<budget_id, budget::spend_limit_curve>()> required;

    /// Returns a row to write together with the next spend row, if one is due.
    std::function<std::optional<store::row_write>()> extra_write;

    /// Returns the interval between two spend rows while no reservation waits
    /// for a higher limit.
    std::function<duration()> interval;

    /// Called when the spend limits may have changed.
    std::function<void()> changed;

    /// Called once, before any tokens may be spent, if a dead router had this
    /// address; `limits` bounds what it spent. As soon as its share row may
    /// carry this router's key, `required` must return at least these limits:
    /// otherwise the next successor would count the dead router's spent tokens
    /// as free.
    std::function<void(
        incarnation_id const& dead,
        std::map<budget_id, budget::spend_limit_curve> const& limits)>
        inherit;
};

/// Writes this router's spend row to the store and reads that of the previous
/// router at this address. Loop thread only; outlives its calls, and `log`
/// outlives it.
class spend_row_writer
{
public:
    spend_row_writer(boost::asio::any_io_executor const& executor,
                     store::async_port port, std::string vm,
                     std::string address, incarnation_id self,
                     spend_listener listener, decision_log& log);

    /// Starts reading and writing; call once. @pre the own address is bound,
    /// which proves that the previous router at it is dead.
    void start();

    /// Writes the row as soon as possible: a reservation waits for a higher
    /// limit.
    void write_soon();

    /// Returns how many of the `held` tokens may be spent at `at`, if the store
    /// does not respond until then.
    token_count limit(budget_id const& budget, budget::held_tokens const& held,
                      instant at) const;

    /// Returns true if the store has acknowledged a row sent at `at` or later.
    bool has_written_since(instant at) const;

    /// Returns true once limits may be above zero.
    bool ready() const;

private:
    void read_previous();
    void use_previous(store::row const& row);
    void first_write();
    void finish_first_write(store::commit_result const& result);
    void send(std::map<budget_id, budget::spend_limit_curve> const& limits,
              std::function<void(store::commit_result const&)> done);
    void write();
    void send_limits();
    void finish_write(store::commit_result const& result);
    void retry_rejected(store::commit_result const& result);
    void report_change();
    void go_on_after(std::function<void()> const& part);
    void schedule(duration pause, std::function<void()> next);

    boost::asio::steady_timer timer;
    store::async_port port;
    std::string vm;
    spend_listener listener;
    decision_log& log;
    caperpath::clock now{caperpath::clock::monotonic()};
    budget::spend_journal journal;
    std::optional<budget::spend_row> previous; ///< of the previous router
    instant started_at{};           ///< when the own address was bound
    instant first_sent_at{};        ///< latest attempt of the first write
    instant sent_at{};              ///< send time of the write under way
    instant acknowledged_sent_at{}; ///< send time of the acknowledged row
    bool writing{false};
    bool first_row_written{false}; ///< and the previous row was read
    bool write_again{false};
};

} // namespace caperpath::gateway

#endif
