#pragma once

#include "sardinepoint/http.hpp"
#include "sardinepoint/limits.hpp"

#include <string>

namespace sardinepoint
{

/** Error response of this daemon that states the outcome of the call. */
http_response outcome_response(int status, run_outcome outcome, const error& reason);

/** Response to a call that provably did not run. */
http_response not_run_response(std::string reason, std::string remedy);

/** Response to a call that may have run. */
http_response unknown_response(std::string reason);

} // namespace sardinepoint
