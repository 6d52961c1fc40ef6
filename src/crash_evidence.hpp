#pragma once

#include "node.hpp"

#include <cstdint>
#include <string_view>

namespace sardinepoint
{

/**
 * Counts the crash of an upstream of this VM against a request that it was running, and broadcasts
 * the entry to the failure domain. Ignores requests that were answered on this VM recently: popular
 * requests are often running on an upstream that crashes.
 */
void record_request_crash(node& self, std::uint64_t fingerprint, std::string_view upstream);

/** Records that an upstream of this VM answered the request, which ends its quarantine. */
void record_request_success(node& self, std::uint64_t fingerprint);

} // namespace sardinepoint
