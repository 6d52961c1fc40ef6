#include "rig/status_sampler.hpp"

#include <algorithm>

namespace sardinepoint::rig
{

using nlohmann::json;

namespace
{

constexpr time_ms sample_interval_ms = 20;
constexpr time_ms request_timeout_ms = 500;

} // namespace

status_sampler::~status_sampler()
{
    this->finish();
}

void status_sampler::watch(const std::deque<daemon_node>& watched)
{
    for (const daemon_node& daemon : watched)
    {
        this->daemons.push_back({.id = daemon.id, .control = daemon.control});
    }
    this->thread = std::thread([this] { this->sample(); });
}

void status_sampler::record_stop(const std::string& id)
{
    const std::lock_guard lock(this->state_mutex);
    for (watched_daemon& daemon : this->daemons)
    {
        if (daemon.id == id)
        {
            ++daemon.process_epoch;
            daemon.in_process = {};
        }
    }
}

void status_sampler::record_start(const std::string& id)
{
    this->record_stop(id);
}

sampler_report status_sampler::finish()
{
    this->stopping = true;
    if (this->thread.joinable())
    {
        this->thread.join();
    }
    return this->report;
}

void status_sampler::sample()
{
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(*loop, {});
    run_every(*loop, sample_interval_ms,
              [&]
              {
                  if (this->stopping)
                  {
                      stop(*loop);
                      return;
                  }
                  const std::lock_guard lock(this->state_mutex);
                  for (watched_daemon& daemon : this->daemons)
                  {
                      if (!daemon.request_pending && daemon.process_epoch % 2 == 0)
                      {
                          this->request_status(*client, daemon);
                      }
                  }
              });
    run(*loop);
}

void status_sampler::request_status(http_client& client, watched_daemon& daemon)
{
    daemon.request_pending = true;
    send_request(client,
                 {.url = "http://" + to_string(daemon.control) + "/v1/status",
                  .timeout = request_timeout_ms},
                 [this, &daemon, process_epoch = daemon.process_epoch](const http_result& result)
                 {
                     const std::lock_guard lock(this->state_mutex);
                     daemon.request_pending = false;
                     const json status = json::parse(result.response.body, nullptr, false);
                     if (daemon.process_epoch == process_epoch && status.is_object())
                     {
                         this->record_status(daemon, status);
                     }
                 });
}

void status_sampler::record_status(watched_daemon& daemon, const json& status)
{
    const position now{status.value("version", std::uint64_t{0}),
                       status.value("next_offset", std::uint64_t{0})};
    ++this->report.samples;
    this->check_monotonic(daemon, "process", daemon.in_process, now);
    if (status.value("ready", false))
    {
        this->check_monotonic(daemon, "ready", daemon.while_ready, now);
    }
}

void status_sampler::check_monotonic(const watched_daemon& daemon, const char* scope,
                                     position& highest, const position& now)
{
    if (now.version < highest.version || now.offset < highest.offset)
    {
        this->report.regressions.push_back(
            daemon.id + " (" + scope + "): version " + std::to_string(highest.version) + " to " +
            std::to_string(now.version) + ", offset " + std::to_string(highest.offset) + " to " +
            std::to_string(now.offset));
    }
    highest.version = std::max(highest.version, now.version);
    highest.offset = std::max(highest.offset, now.offset);
}

} // namespace sardinepoint::rig
