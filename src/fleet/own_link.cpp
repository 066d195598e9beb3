#include <caperpath/fleet/own_link.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

constexpr duration stretch{500};

/// Fewer may be the fault of one server.
constexpr std::int64_t least_silent = 8;

own_link in_stretch(own_link of, instant now)
{
    auto const age = now - of.stretch_began;
    if (age < stretch)
    {
        return of;
    }
    of.previous = age < stretch + stretch ? of.current : server_answers{};
    of.current = {};
    of.stretch_began = now;
    return of;
}

bool is_failing(own_link const& of)
{
    auto const silent = of.current.silent + of.previous.silent;
    auto const answered = of.current.answered + of.previous.answered;
    return of.unconfirmed_for > configuration_is_old &&
           silent >= least_silent && silent > answered;
}

} // namespace

own_link confirmed(own_link of)
{
    of.unconfirmed_for = duration{0};
    return of;
}

own_link server_tried(own_link of, bool answered, instant now)
{
    of = in_stretch(of, now);
    (answered ? of.current.answered : of.current.silent) += 1;
    return of;
}

own_link looked_at(own_link of, instant now)
{
    of = in_stretch(of, now);
    of.unconfirmed_for =
        of.unconfirmed_for + std::min(now - of.looked, longest_look);
    of.looked = now;
    if (is_failing(of))
    {
        of.rests_until = now + link_rest;
    }
    return of;
}

bool sheds_callers(own_link const& of, instant now)
{
    return now < of.rests_until;
}

} // namespace caperpath::fleet
