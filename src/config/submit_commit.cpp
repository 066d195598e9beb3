#include "config/submit.hpp"

#include <caperpath/config/codec.hpp>
#include <caperpath/config/keys.hpp>

#include "config/sha256.hpp"

#include <optional>
#include <utility>
#include <variant>

namespace caperpath::config
{

namespace
{

using store::commit_outcome;

store::transaction numbering_transaction(patch_request const& request,
                                         prepared_version const& next)
{
    auto const number = next.version();
    version_record const record{number,         next.object,       request.id,
                                request.author, next.content.name, request.at};
    store::transaction txn{
        {{current_key, next.base.row_version},
         {version_key(number), 0},
         {patch_key(request.id), 0}},
        {{current_key, write_pointer({number, next.object, 0})},
         {version_key(number), write_record(record)},
         {patch_key(request.id), write_patch_record({number, next.digest})}}};
    if (!next.content.name.empty())
    {
        auto const key = name_key(next.content.name);
        txn.conditions.push_back({key, 0});
        txn.writes.push_back({key, write_named(number)});
    }
    return txn;
}

// Derives the result of a rejected commit from the rows whose condition did not
// hold. Returns nothing if the platform rejected the write for another reason.
std::optional<patch_result> explain(store::port const& port,
                                    patch_request const& request,
                                    prepared_version const& next,
                                    std::vector<store::row> const& failed)
{
    if (auto const* row = find_row(failed, patch_key(request.id)))
    {
        if (auto const earlier = read_patch_record(*row))
        {
            return repeated(request, *earlier);
        }
    }
    if (auto const* row = find_row(failed, current_key))
    {
        if (auto const current = read_pointer(*row))
        {
            return conflict(port, request, *current);
        }
    }
    if (find_row(failed, name_key(next.content.name)) != nullptr)
    {
        return invalid(
            {{"/name", next.content.name + " already names another version"}});
    }
    return std::nullopt;
}

// The record of a version number is written once and never changed. If it has
// this request's id, the commit was applied; if it has another id, the commit
// can never be applied.
patch_result read_back(store::port const& port, patch_request const& request,
                       prepared_version const& next, error problem)
{
    patch_result made = unavailable(std::move(problem));
    made.status = patch_status::unknown;
    made.version = next.version();
    auto const key = version_key(next.version());
    auto const response = value_or_error(
        [&] {
            return read_rows(port, {key, current_key});
        });
    auto const* rows = std::get_if<0>(&response);
    auto const* row = rows == nullptr ? nullptr : find_row(*rows, key);
    auto const record = row == nullptr ? std::nullopt : read_record(*row);
    if (!record)
    {
        return made;
    }
    if (record->patch_id == request.id)
    {
        made.status = patch_status::accepted;
        return made;
    }
    version_pointer current{record->version, record->object, 0};
    if (auto const* now = find_row(*rows, current_key))
    {
        current = read_pointer(*now).value_or(current);
    }
    return conflict(port, request, current);
}

} // namespace

std::string digest_of(patch_request const& request)
{
    return to_hex(sha256(request.patch.dump()));
}

patch_result unavailable(error problem)
{
    patch_result made;
    made.problem = std::move(problem);
    return made;
}

patch_result invalid(std::vector<fault> faults)
{
    patch_result made;
    made.status = patch_status::invalid;
    made.faults = std::move(faults);
    return made;
}

patch_result repeated(patch_request const& request, patch_record const& earlier)
{
    if (earlier.digest != digest_of(request))
    {
        return invalid({{"/id", "this id was used for another patch"}});
    }
    patch_result made;
    made.status = patch_status::accepted;
    made.version = earlier.version;
    made.already_accepted = true;
    return made;
}

result<nlohmann::json> load_json(store::port const& port, std::uint64_t version)
{
    if (version == 0)
    {
        return to_json(document{});
    }
    BOOST_LEAF_AUTO(content, load_version(port, version));
    return to_json(content);
}

patch_result conflict(store::port const& port, patch_request const& request,
                      version_pointer const& current)
{
    patch_result made;
    made.status = patch_status::conflict;
    made.version = current.version;
    auto const both = value_or_error(
        [&]() -> result<std::vector<change>>
        {
            BOOST_LEAF_AUTO(base, load_json(port, request.base_version));
            BOOST_LEAF_AUTO(now, load_json(port, current.version));
            return changes_between(base, now);
        });
    if (auto const* problem = std::get_if<error>(&both))
    {
        // The conflict is certain; only the changes could not be read.
        made.problem = *problem;
        return made;
    }
    made.changed = std::get<0>(both);
    made.paths_overlap = overlap(touched_paths(request.patch), made.changed);
    return made;
}

// Retrying the same transaction is harmless: its conditions hold only until it
// has taken effect. After a lost response it is therefore retried until the
// table reports the outcome.
patch_result commit_version(store::port const& port,
                            patch_request const& request,
                            prepared_version const& next)
{
    auto const txn = numbering_transaction(request, next);
    bool may_have_applied = false;
    store::commit_result response;
    for (int attempt = 0; attempt < write_attempts; ++attempt)
    {
        response = port.commit(txn);
        if (response.outcome == commit_outcome::applied)
        {
            patch_result made;
            made.status = patch_status::accepted;
            made.version = next.version();
            return made;
        }
        if (response.outcome == commit_outcome::unknown)
        {
            may_have_applied = true;
            continue;
        }
        if (auto explained = explain(port, request, next, response.failed))
        {
            return *explained;
        }
    }
    if (may_have_applied)
    {
        return read_back(port, request, next, response.fault);
    }
    return unavailable(response.fault);
}

} // namespace caperpath::config
