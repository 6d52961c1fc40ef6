#pragma once

#include "node.hpp"

#include <functional>
#include <string_view>

namespace sardinepoint
{

/**
 * Checks a patch, appends it to the log and answers once its record was read back. Repeating a
 * patch id is safe: an id that was folded before gets the same answer again. A dry run only
 * checks the patch against the current configuration.
 */
void submit_patch(node& self, std::string_view text, bool dry_run,
                  std::function<void(http_response)> respond);

} // namespace sardinepoint
