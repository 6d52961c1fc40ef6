#pragma once

#include "sardinepoint/http.hpp"
#include "sardinepoint/limits.hpp"

#include <string>

namespace sardinepoint
{

/** An error answer of this daemon with the outcome of the call. */
http_response outcome_response(int status, run_outcome outcome, const error& reason);

/** The call was not run, which is proven. */
http_response not_run_response(std::string reason, std::string remedy);

/** The call may have run. */
http_response unknown_response(std::string reason);

} // namespace sardinepoint
