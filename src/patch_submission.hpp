#pragma once

#include "node.hpp"

#include <functional>
#include <string_view>

namespace sardinepoint
{

/**
 * Validates a patch, appends it to the log and responds once its record was read back. Submitting
 * a patch id again is safe: if it was applied or rejected before, the response is the same. A dry
 * run only validates the patch against the current configuration.
 */
void submit_patch(node& self, std::string_view text, bool dry_run,
                  std::function<void(http_response)> respond);

} // namespace sardinepoint
