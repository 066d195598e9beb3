#ifndef CAPERPATH_FLEET_RESPONSE_ORIGIN_HPP
#define CAPERPATH_FLEET_RESPONSE_ORIGIN_HPP

/// Decides from the head of a response whether it is the response of the server
/// to the request that was sent. A faulty server may send bytes that form a
/// response and belong to no request. Pure functions.
namespace caperpath::fleet
{

/// What the head of a response states. Immutable value.
struct response_marks
{
    int status{};            ///< @pre one that HTTP defines
    bool is_signed{false};   ///< with a single signature of the server
    bool names_this{false};  ///< with the id of the request that was sent
    bool names_other{false}; ///< with another id
    bool says_not_run{false};
    /// The connection has carried a response before, and a server may respond
    /// once more to an earlier request.
    bool on_used_connection{false};

    friend bool operator==(response_marks const&,
                           response_marks const&) = default;
};

enum class response_origin
{
    interim,       ///< the final response follows
    other_request, ///< the response to this request may follow
    this_request,
    unproven ///< the server may have run the request, and says nothing of it
};

/// A success or a redirection counts only with a signature. A failure counts
/// with a signature or the id of the request; a status that tells the caller
/// that nothing has run also needs the server's word for it. On a connection
/// that was used before, each needs the id. Thread safe.
response_origin judge_origin(response_marks const& marks);

} // namespace caperpath::fleet

#endif
