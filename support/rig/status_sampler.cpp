#include "rig/status_sampler.hpp"

#include <algorithm>

namespace sardinepoint::rig
{

using nlohmann::json;

namespace
{

constexpr time_ms sample_interval_ms = 20;
constexpr time_ms answer_limit_ms = 500;

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

void status_sampler::note_end(const std::string& id)
{
    const std::lock_guard lock(this->guard);
    for (watched_daemon& daemon : this->daemons)
    {
        if (daemon.id == id)
        {
            ++daemon.process;
            daemon.in_process = {};
        }
    }
}

void status_sampler::note_start(const std::string& id)
{
    this->note_end(id);
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
                  const std::lock_guard lock(this->guard);
                  for (watched_daemon& daemon : this->daemons)
                  {
                      if (!daemon.asked && daemon.process % 2 == 0)
                      {
                          this->ask(*client, daemon);
                      }
                  }
              });
    run(*loop);
}

void status_sampler::ask(http_client& client, watched_daemon& daemon)
{
    daemon.asked = true;
    send_request(
        client,
        {.url = "http://" + to_string(daemon.control) + "/v1/status", .timeout = answer_limit_ms},
        [this, &daemon, process = daemon.process](const http_result& result)
        {
            const std::lock_guard lock(this->guard);
            daemon.asked = false;
            const json status = json::parse(result.response.body, nullptr, false);
            if (daemon.process == process && status.is_object())
            {
                this->take(daemon, status);
            }
        });
}

void status_sampler::take(watched_daemon& daemon, const json& status)
{
    const position now{status.value("version", std::uint64_t{0}),
                       status.value("next_offset", std::uint64_t{0})};
    ++this->report.samples;
    this->compare(daemon, "process", daemon.in_process, now);
    if (status.value("ready", false))
    {
        this->compare(daemon, "ready", daemon.while_ready, now);
    }
}

void status_sampler::compare(const watched_daemon& daemon, const char* scope, position& highest,
                             const position& now)
{
    if (now.version < highest.version || now.offset < highest.offset)
    {
        this->report.went_back.push_back(
            daemon.id + " (" + scope + "): version " + std::to_string(highest.version) + " to " +
            std::to_string(now.version) + ", offset " + std::to_string(highest.offset) + " to " +
            std::to_string(now.offset));
    }
    highest.version = std::max(highest.version, now.version);
    highest.offset = std::max(highest.offset, now.offset);
}

} // namespace sardinepoint::rig
