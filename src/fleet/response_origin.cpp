#include <caperpath/base/http_status.hpp>
#include <caperpath/fleet/response_origin.hpp>

namespace caperpath::fleet
{

response_origin judge_origin(response_marks const& marks)
{
    if (!is_final_status(marks.status))
    {
        return response_origin::interim;
    }
    if (marks.names_other)
    {
        return response_origin::other_request;
    }
    auto const is_plain_failure =
        marks.status >= http_client_error && !promises_not_run(marks.status);
    auto const proven = marks.says_not_run || marks.is_signed ||
                        (marks.names_this && is_plain_failure);
    auto const may_be_earlier = marks.on_used_connection && !marks.names_this;
    return proven && !may_be_earlier ? response_origin::this_request
                                     : response_origin::unproven;
}

} // namespace caperpath::fleet
