#include "call_responses.hpp"

#include "call_headers.hpp"

#include <utility>

namespace sardinepoint
{

http_response outcome_response(int status, run_outcome outcome, const error& reason)
{
    http_response response = error_response(status, reason);
    set_header(response.headers, call_headers::outcome, std::string(to_string(outcome)));
    set_header(response.headers, call_headers::reason, reason.message);
    return response;
}

http_response not_run_response(std::string reason, std::string remedy)
{
    return outcome_response(503, run_outcome::not_run,
                            {error_kind::not_ready, std::move(reason), std::move(remedy)});
}

http_response unknown_response(std::string reason)
{
    return outcome_response(504, run_outcome::unknown,
                            {error_kind::outcome_unknown, std::move(reason),
                             "ask the service whether the request took effect, or send it again "
                             "with its Idempotency-Key"});
}

} // namespace sardinepoint
