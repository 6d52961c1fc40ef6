#include "crash_evidence.hpp"

#include "broadcast.hpp"

#include "sardinepoint/logging.hpp"

namespace sardinepoint
{

void record_request_crash(node& self, std::uint64_t fingerprint, std::string_view upstream)
{
    if (answered_recently(self.answered, fingerprint, steady_now()))
    {
        log_event(log_level::info, "crash_not_counted",
                  {{"upstream", upstream}, {"fingerprint", fingerprint}});
        return;
    }
    record_crash(self.quarantine, fingerprint, upstream, wall_now());
    broadcast_crash(self, fingerprint);
}

void record_request_success(node& self, std::uint64_t fingerprint)
{
    record_answered(self.answered, fingerprint, steady_now());
    if (record_success(self.quarantine, fingerprint, wall_now()))
    {
        broadcast_crash(self, fingerprint);
    }
}

} // namespace sardinepoint
