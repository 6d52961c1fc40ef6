#include "model/load_figures.hpp"

#include "sardinepoint/retry_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <tuple>

namespace model
{

namespace
{

using sardinepoint::admission;
using sardinepoint::admission_kind;
using sardinepoint::admission_queue;
using sardinepoint::advertised_service_time;
using sardinepoint::instance_view;
using sardinepoint::placement_request;
using sardinepoint::queue_report;
using sardinepoint::release_result;

// As in the daemon: the shortest retry delay that is sent to a refused caller, and the longest one
// as a fraction of the caller's remaining time.
constexpr double min_retry_after_ms = 40;
constexpr double max_retry_wait_fraction = 1.0 / 3;
constexpr double tick_ms = 50;
// Upstreams that may receive a call, as with the daemon's default for routes.
constexpr int max_arrivals = 2;
// Time for a changed record of an upstream to reach all daemons.
constexpr double record_delay_ms = 300;
// Penalties, as fractions of the utility of the call concerned.
constexpr double refused_again_penalty = 0.3;
constexpr double failed_inner_penalty = 0.3;

enum class call_result
{
    answered,
    refused,
    failed,
};

struct upstream
{
    std::size_t service = 0;
    int locality = 0;
    double speed = 1;
    double slow_until = 0;
    double slow_factor = 1;
    double unavailable_until = 0;
    admission_queue queue;
    advertised_service_time advertised;
    /** What the daemon of the same VM knows of the upstreams of each service. */
    std::vector<std::vector<instance_view>> views;
    sardinepoint::hedge_state hedging;
    sardinepoint::retry_counts retries;
};

struct simulated_call;
using result_callback = std::function<void(call_result)>;

/** One attempt of a caller, or a call that an upstream makes while it processes another one. */
struct simulated_call
{
    std::uint64_t id = 0;
    std::size_t route = 0;
    std::size_t daemon = 0;
    double latency_target_at = 0;
    double deadline = 0;
    int parent_priority = 0;
    std::vector<std::string> tried;
    int offers = 0;
    std::size_t target = 0;
    double started = 0;
    bool holds_slot = false;
    int pending_inner_calls = 0;
    double work_left = 0;
    result_callback done;
    /** When the current attempt was sent. */
    double offered_at = 0;
    int arrivals = 0;
    /** The attempt was cancelled or its result is of no use any more. */
    bool cancelled = false;
    /** The second attempt in progress, and the call that a second attempt belongs to. */
    std::shared_ptr<simulated_call> hedge;
    std::shared_ptr<simulated_call> hedged;
    bool is_hedge = false;
};

/** A caller's request, over all its attempts. */
struct client_request
{
    std::size_t route = 0;
    double first_attempt_at = 0;
    int attempts = 0;
    int locality = 0;
};

class simulation
{
public:
    simulation(const scenario& plan, const policy& evaluated_policy, std::uint64_t seed)
        : plan(plan), evaluated_policy(evaluated_policy), random(seed)
    {
        this->build();
    }

    run_metrics run();

private:
    using action = std::function<void()>;

    void build();
    void schedule(double delay, action next);
    void schedule_next_arrival(std::size_t route);
    void start_attempt(const std::shared_ptr<client_request>& client);
    void end_attempt(const std::shared_ptr<client_request>& client,
                     const std::shared_ptr<simulated_call>& call, call_result result);
    void record_result(const client_request& client, call_result result, bool late);
    void offer(const std::shared_ptr<simulated_call>& call);
    void admit_call(const std::shared_ptr<simulated_call>& call);
    void start(const std::shared_ptr<simulated_call>& call);
    void make_inner_calls(const std::shared_ptr<simulated_call>& call);
    void finish_run(const std::shared_ptr<simulated_call>& call, call_result result);
    void refuse(const std::shared_ptr<simulated_call>& call);
    void schedule_hedge(const std::shared_ptr<simulated_call>& call);
    void hedge(const std::shared_ptr<simulated_call>& call);
    void end_attempt(const std::shared_ptr<simulated_call>& call, call_result result);
    void cancel(const std::shared_ptr<simulated_call>& call);
    void notify_daemon(const std::shared_ptr<simulated_call>& call, action next);
    void refuse_calls(const std::vector<std::uint64_t>& ids);
    void advertise_service_time(std::size_t index);
    void tick();

    double sample_work(const route_load& route);
    double delay_between(std::size_t left, std::size_t right) const;
    double load_factor() const;
    time_ms now_ms() const
    {
        return static_cast<time_ms>(this->now) + clock_start;
    }
    std::size_t service_index(const std::string& name) const;
    std::size_t route_index(const std::string& name) const;

    // Time 0 means "no report yet" in instance_view.
    static constexpr time_ms clock_start = 1000;

    const scenario& plan;
    const policy& evaluated_policy;
    std::mt19937_64 random;
    double now = 0;
    std::uint64_t last_id = 0;
    struct event
    {
        double at;
        std::uint64_t order;
        std::shared_ptr<action> run;
        bool operator<(const event& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };
    std::priority_queue<event> events;
    std::uint64_t last_order = 0;
    std::vector<upstream> upstreams;
    std::vector<std::vector<std::size_t>> upstreams_by_service;
    /** Service of each route. */
    std::vector<std::size_t> service_by_route;
    std::map<std::uint64_t, std::shared_ptr<simulated_call>> queued;

    run_totals totals;
};

std::size_t simulation::service_index(const std::string& name) const
{
    const auto found =
        std::find_if(this->plan.services.begin(), this->plan.services.end(),
                     [&](const service_config& service) { return service.name == name; });
    return static_cast<std::size_t>(found - this->plan.services.begin());
}

std::size_t simulation::route_index(const std::string& name) const
{
    const auto found = std::find_if(this->plan.routes.begin(), this->plan.routes.end(),
                                    [&](const route_load& route) { return route.name == name; });
    return static_cast<std::size_t>(found - this->plan.routes.begin());
}

void simulation::build()
{
    for (std::size_t s = 0; s < this->plan.services.size(); ++s)
    {
        const service_config& setup = this->plan.services[s];
        this->upstreams_by_service.emplace_back();
        for (int i = 0; i < setup.upstreams; ++i)
        {
            upstream server{.service = s,
                            .locality = i % this->plan.localities,
                            .speed =
                                setup.speeds[static_cast<std::size_t>(i) % setup.speeds.size()]};
            server.queue.slots = setup.slots;
            server.queue.options = this->evaluated_policy.admission;
            server.hedging.options = this->evaluated_policy.hedging;
            this->upstreams_by_service.back().push_back(this->upstreams.size());
            this->upstreams.push_back(std::move(server));
        }
    }
    for (upstream& daemon : this->upstreams)
    {
        for (const auto& members : this->upstreams_by_service)
        {
            daemon.views.emplace_back();
            for (const std::size_t index : members)
            {
                const upstream& other = this->upstreams[index];
                instance_view view;
                view.member = "vm-" + std::to_string(index);
                view.instance = std::to_string(index);
                view.locality = std::to_string(other.locality);
                view.slots = other.queue.slots;
                daemon.views.back().push_back(std::move(view));
            }
        }
    }
    for (const route_load& route : this->plan.routes)
    {
        this->totals.routes.push_back({.name = route.name});
        this->service_by_route.push_back(this->service_index(route.service));
    }
    this->totals.seconds.resize(static_cast<std::size_t>(this->plan.duration / 1000 + 1));
    this->totals.localities.resize(static_cast<std::size_t>(this->plan.localities));
}

void simulation::schedule(double delay, action next)
{
    this->events.push({this->now + std::max(delay, 0.0), ++this->last_order,
                       std::make_shared<action>(std::move(next))});
}

double simulation::load_factor() const
{
    double factor = 1;
    for (const disturbance& change : this->plan.disturbances)
    {
        const bool active = this->now >= static_cast<double>(change.at) &&
                            this->now < static_cast<double>(change.at + change.duration);
        factor *= change.service.empty() && active ? change.factor : 1;
    }
    return factor;
}

void simulation::schedule_next_arrival(std::size_t route)
{
    const double rate = this->plan.routes[route].calls_per_second * this->load_factor() / 1000;
    if (this->now >= static_cast<double>(this->plan.duration) || rate <= 0)
    {
        return;
    }
    this->schedule(
        std::exponential_distribution<double>(rate)(this->random),
        [this, route]
        {
            if (this->now >= static_cast<double>(this->plan.duration))
            {
                return;
            }
            auto client = std::make_shared<client_request>();
            client->route = route;
            client->first_attempt_at = this->now;
            client->locality =
                std::uniform_int_distribution<int>(0, this->plan.localities - 1)(this->random);
            const double utility = this->plan.routes[route].utility;
            ++this->totals.routes[route].calls;
            this->totals.seconds[static_cast<std::size_t>(this->now / 1000)].offered_utility +=
                utility;
            this->totals.localities[static_cast<std::size_t>(client->locality)].offered_utility +=
                utility;
            this->start_attempt(client);
            this->schedule_next_arrival(route);
        });
}

void simulation::start_attempt(const std::shared_ptr<client_request>& client)
{
    const route_load& route = this->plan.routes[client->route];
    std::vector<std::size_t> local_upstreams;
    for (std::size_t i = 0; i < this->upstreams.size(); ++i)
    {
        if (this->upstreams[i].locality == client->locality)
        {
            local_upstreams.push_back(i);
        }
    }
    ++client->attempts;
    auto call = std::make_shared<simulated_call>();
    call->id = ++this->last_id;
    call->route = client->route;
    call->daemon = local_upstreams[std::uniform_int_distribution<std::size_t>(
        0, local_upstreams.size() - 1)(this->random)];
    // The remaining time that the caller sends lets the daemon infer when the first attempt was
    // made.
    call->parent_priority = route.priority;
    call->deadline = client->first_attempt_at + static_cast<double>(route.deadline);
    const double latency_target_start = this->evaluated_policy.knows_first_attempt
                                            ? client->first_attempt_at
                                            : this->now + this->plan.caller_ms;
    call->latency_target_at =
        std::min(latency_target_start + static_cast<double>(route.latency_target), call->deadline);
    call->done = [this, client, call_ptr = std::weak_ptr(call)](call_result result)
    {
        if (const auto ended = call_ptr.lock())
        {
            this->end_attempt(client, ended, result);
        }
    };
    this->schedule(this->plan.caller_ms, [this, call] { this->offer(call); });
}

void simulation::end_attempt(const std::shared_ptr<client_request>& client,
                             const std::shared_ptr<simulated_call>& call, call_result result)
{
    const route_load& route = this->plan.routes[client->route];
    const double response_at = this->now + this->plan.caller_ms;
    const double deadline = client->first_attempt_at + static_cast<double>(route.deadline);
    if (result == call_result::answered && response_at <= deadline)
    {
        this->totals.latencies.push_back(response_at - client->first_attempt_at);
        this->record_result(*client, result,
                            response_at > client->first_attempt_at +
                                              static_cast<double>(route.latency_target));
        return;
    }
    if (result == call_result::refused && client->attempts <= route.retries)
    {
        const double expected_wait =
            sardinepoint::shortest_wait(
                this->upstreams[call->daemon].views[this->service_by_route[client->route]],
                this->evaluated_policy.placement, this->now_ms())
                .value_or(std::numeric_limits<double>::max());
        const double max_wait = std::max((deadline - response_at) * max_retry_wait_fraction, 0.0);
        const double wait = std::clamp(expected_wait * this->evaluated_policy.retry_wait_factor,
                                       std::min(min_retry_after_ms, max_wait), max_wait);
        this->schedule(this->plan.caller_ms + wait,
                       [this, client] { this->start_attempt(client); });
        return;
    }
    this->record_result(*client, result == call_result::answered ? call_result::failed : result,
                        false);
}

void simulation::record_result(const client_request& client, call_result result, bool late)
{
    const route_load& route = this->plan.routes[client.route];
    route_metrics& sum = this->totals.routes[client.route];
    if (result == call_result::answered)
    {
        const double utility = late ? route.late_utility : route.utility;
        ++(late ? sum.late : sum.within_latency_target);
        sum.utility += utility;
        this->totals.seconds[static_cast<std::size_t>(client.first_attempt_at / 1000)]
            .achieved_utility += utility;
        this->totals.localities[static_cast<std::size_t>(client.locality)].achieved_utility +=
            utility;
        return;
    }
    ++(result == call_result::refused ? sum.refused : sum.failed);
    if (client.attempts > 1)
    {
        ++sum.refused_again;
        this->totals.refused_again += refused_again_penalty * route.utility;
    }
}

double simulation::delay_between(std::size_t left, std::size_t right) const
{
    return this->upstreams[left].locality == this->upstreams[right].locality
               ? 0.1
               : this->plan.locality_ms;
}

void simulation::offer(const std::shared_ptr<simulated_call>& call)
{
    const std::size_t service = this->service_by_route[call->route];
    upstream& daemon = this->upstreams[call->daemon];
    const std::string member = "vm-" + std::to_string(call->daemon);
    const std::string locality = std::to_string(daemon.locality);
    const placement_request request{
        .own_member = member, .locality = locality, .tried = call->tried};
    if (daemon.service == service)
    {
        instance_view& own =
            daemon.views[service][call->daemon - this->upstreams_by_service[service].front()];
        sardinepoint::record_report(own, sardinepoint::make_report(daemon.queue), this->now_ms());
    }
    const auto chosen =
        call->offers < this->evaluated_policy.max_offers && this->now < call->deadline
            ? sardinepoint::place_call(daemon.views[service], request,
                                       this->evaluated_policy.placement, this->now_ms(),
                                       this->random)
            : std::nullopt;
    if (!chosen)
    {
        call->cancelled = true;
        call->done(call_result::refused);
        return;
    }
    instance_view& view = daemon.views[service][chosen->index];
    sardinepoint::record_sent(view);
    if (call->offers == 0)
    {
        sardinepoint::record_call(daemon.retries, this->plan.services[service].name, 0, {},
                                  this->now_ms());
        ++this->totals.calls;
    }
    ++call->offers;
    call->offered_at = this->now;
    call->tried.push_back(view.instance);
    call->target = this->upstreams_by_service[service][chosen->index];
    this->schedule_hedge(call);
    this->schedule(this->delay_between(call->daemon, call->target),
                   [this, call] { this->admit_call(call); });
}

void simulation::admit_call(const std::shared_ptr<simulated_call>& call)
{
    upstream& server = this->upstreams[call->target];
    const route_load& route = this->plan.routes[call->route];
    const bool no_slot = call->is_hedge && !sardinepoint::has_free_slot(server.queue);
    if (this->now < server.unavailable_until || no_slot)
    {
        this->refuse(call);
        return;
    }
    const admission decision = sardinepoint::admit(
        server.queue,
        {.id = call->id,
         .route = route.name,
         .priority = route.priority,
         .parent_priority = call->parent_priority,
         .latency_target_at = static_cast<time_ms>(call->latency_target_at) + clock_start,
         .deadline = static_cast<time_ms>(call->deadline) + clock_start},
        this->now_ms());
    if (decision.kind == admission_kind::run)
    {
        this->start(call);
    }
    else if (decision.kind == admission_kind::wait)
    {
        this->queued[call->id] = call;
    }
    else
    {
        this->refuse(call);
    }
    this->refuse_calls(decision.displaced);
}

void simulation::refuse_calls(const std::vector<std::uint64_t>& ids)
{
    for (const std::uint64_t id : ids)
    {
        auto entry = this->queued.extract(id);
        if (!entry.empty())
        {
            this->refuse(entry.mapped());
        }
    }
}

/** Delivers the end of the call and the queue report of its target to the call's daemon. */
void simulation::notify_daemon(const std::shared_ptr<simulated_call>& call, action next)
{
    const queue_report report = sardinepoint::make_report(this->upstreams[call->target].queue);
    this->schedule(
        this->delay_between(call->daemon, call->target),
        [this, call, report, target = call->target, next = std::move(next)]
        {
            // The daemon has closed the connection of a cancelled attempt.
            if (call->cancelled)
            {
                return;
            }
            const std::size_t service = this->upstreams[target].service;
            instance_view& view =
                this->upstreams[call->daemon]
                    .views[service][target - this->upstreams_by_service[service].front()];
            sardinepoint::record_ended(view);
            sardinepoint::record_report(view, report, this->now_ms());
            next();
        });
}

void simulation::refuse(const std::shared_ptr<simulated_call>& call)
{
    this->notify_daemon(call,
                        [this, call]
                        {
                            sardinepoint::record_capacity_refusal(
                                this->upstreams[call->daemon].hedging,
                                this->plan.services[this->service_by_route[call->route]].name,
                                this->now_ms());
                            if (call->is_hedge || call->hedge)
                            {
                                this->end_attempt(call, call_result::refused);
                                return;
                            }
                            this->offer(call);
                        });
}

void simulation::schedule_hedge(const std::shared_ptr<simulated_call>& call)
{
    const route_load& route = this->plan.routes[call->route];
    const auto delay =
        sardinepoint::hedge_delay(this->upstreams[call->daemon].hedging, route.name, 0);
    if (!delay || !route.idempotent)
    {
        return;
    }
    this->schedule(static_cast<double>(*delay),
                   [this, call, offers = call->offers]
                   {
                       if (!call->cancelled && call->offers == offers)
                       {
                           this->hedge(call);
                       }
                   });
}

/** Sends a second attempt of a call whose attempt in progress is slow, as the daemon does. */
void simulation::hedge(const std::shared_ptr<simulated_call>& call)
{
    const route_load& route = this->plan.routes[call->route];
    const std::size_t service = this->service_by_route[call->route];
    const std::string& service_name = this->plan.services[service].name;
    upstream& daemon = this->upstreams[call->daemon];
    std::vector<instance_view>& views = daemon.views[service];
    sardinepoint::record_overdue(daemon.hedging, route.name);
    const sardinepoint::placement_options& options = this->evaluated_policy.placement;
    const std::string_view refusal = sardinepoint::hedge_refusal(
        daemon.hedging,
        {.route = route.name,
         .service = service_name,
         .is_idempotent = true,
         .arrivals = call->arrivals + 1,
         .max_arrivals = max_arrivals,
         .load = sardinepoint::reported_load(views, options, this->now_ms())},
        this->now_ms());
    if (!refusal.empty())
    {
        return;
    }
    std::vector<std::size_t> eligible(views.size());
    std::iota(eligible.begin(), eligible.end(), 0);
    const std::vector<std::size_t> candidates =
        sardinepoint::hedge_candidates(views, eligible, call->tried, options, this->now_ms());
    const std::string member = "vm-" + std::to_string(call->daemon);
    const std::string locality = std::to_string(daemon.locality);
    const auto chosen = sardinepoint::place_call(
        views,
        {.own_member = member, .locality = locality, .tried = call->tried, .eligible = candidates},
        options, this->now_ms(), this->random);
    const auto time_left = static_cast<time_ms>(call->deadline - this->now);
    if (!chosen ||
        !sardinepoint::has_time_for_hedge(daemon.hedging, route.name, time_left,
                                          chosen->known_service_time) ||
        !sardinepoint::take_hedge(daemon.retries, service_name, {}, daemon.hedging.options.ratio,
                                  this->upstreams.size(), this->now_ms()))
    {
        return;
    }
    instance_view& view = views[chosen->index];
    sardinepoint::record_sent(view);
    call->tried.push_back(view.instance);
    ++this->totals.hedges;
    auto second = std::make_shared<simulated_call>();
    second->id = ++this->last_id;
    second->route = call->route;
    second->daemon = call->daemon;
    second->latency_target_at = call->latency_target_at;
    second->deadline = call->deadline;
    second->parent_priority = call->parent_priority;
    second->target = this->upstreams_by_service[service][chosen->index];
    second->offered_at = this->now;
    second->is_hedge = true;
    second->hedged = call;
    call->hedge = second;
    this->schedule(this->delay_between(call->daemon, second->target),
                   [this, second] { this->admit_call(second); });
}

/** Ends an attempt at the daemon that sent it: the first answer of a call's attempts wins. */
void simulation::end_attempt(const std::shared_ptr<simulated_call>& call, call_result result)
{
    const std::shared_ptr<simulated_call> first = call->is_hedge ? call->hedged : call;
    const std::shared_ptr<simulated_call> other = call->is_hedge ? first : call->hedge;
    sardinepoint::hedge_state& hedging = this->upstreams[first->daemon].hedging;
    const std::string& route = this->plan.routes[first->route].name;
    if (result == call_result::answered)
    {
        if (!first->hedge && !call->is_hedge)
        {
            const auto delay = sardinepoint::hedge_delay(hedging, route, 0);
            if (delay && this->now - call->offered_at <= static_cast<double>(*delay))
            {
                sardinepoint::record_in_time(hedging, route, this->now - call->offered_at);
            }
        }
        sardinepoint::record_attempt_latency(hedging, route, this->now - first->offered_at,
                                             this->now_ms());
    }
    call->cancelled = true;
    if (other && !other->cancelled)
    {
        // A failed attempt changes nothing for the other one.
        if (result != call_result::answered)
        {
            first->hedge = call->is_hedge ? nullptr : first->hedge;
            first->arrivals += result == call_result::failed ? 1 : 0;
            return;
        }
        this->cancel(other);
    }
    first->hedge = nullptr;
    if (call->is_hedge && result == call_result::refused)
    {
        first->cancelled = false;
        this->offer(first);
        return;
    }
    first->done(result);
}

/** Cancels an attempt, which frees its slot or its place in the queue one delay later. */
void simulation::cancel(const std::shared_ptr<simulated_call>& call)
{
    call->cancelled = true;
    const std::size_t service = this->service_by_route[call->route];
    sardinepoint::record_ended(
        this->upstreams[call->daemon]
            .views[service][call->target - this->upstreams_by_service[service].front()]);
    this->schedule(this->delay_between(call->daemon, call->target),
                   [this, call]
                   {
                       if (call->holds_slot)
                       {
                           this->totals.lost_slot_ms += this->now - call->started;
                           this->finish_run(call, call_result::failed);
                       }
                       else if (this->queued.erase(call->id) > 0)
                       {
                           sardinepoint::remove_waiting(this->upstreams[call->target].queue,
                                                        call->id);
                       }
                   });
}

double simulation::sample_work(const route_load& route)
{
    // Lognormal; mu is such that the mean is the route's work_ms.
    const double mu =
        std::log(std::max(route.work_ms, 0.01)) - route.work_log_stddev * route.work_log_stddev / 2;
    return std::min(std::lognormal_distribution<double>(mu, route.work_log_stddev)(this->random),
                    route.max_work_ms);
}

void simulation::start(const std::shared_ptr<simulated_call>& call)
{
    upstream& server = this->upstreams[call->target];
    call->holds_slot = true;
    call->started = this->now;
    const double slowdown = this->now < server.slow_until ? server.slow_factor : 1;
    const double work = this->sample_work(this->plan.routes[call->route]) * slowdown / server.speed;
    // Calls to other services are made after half of the work.
    call->work_left = work / 2;
    this->schedule(work / 2, [this, call] { this->make_inner_calls(call); });
    this->schedule(std::max(call->deadline - this->now, 0.0),
                   [this, call]
                   {
                       if (call->holds_slot)
                       {
                           this->finish_run(call, call_result::failed);
                       }
                   });
}

void simulation::make_inner_calls(const std::shared_ptr<simulated_call>& call)
{
    if (!call->holds_slot)
    {
        return;
    }
    const route_load& route = this->plan.routes[call->route];
    std::vector<std::size_t> routes;
    for (const inner_calls& inner : route.calls)
    {
        const bool selected =
            std::uniform_real_distribution<double>(0, 1)(this->random) < inner.fraction;
        routes.insert(routes.end(), static_cast<std::size_t>(selected ? inner.times : 0),
                      this->route_index(inner.route));
    }
    call->pending_inner_calls = static_cast<int>(routes.size());
    const auto schedule_completion = [this](const std::shared_ptr<simulated_call>& parent)
    {
        this->schedule(parent->work_left,
                       [this, parent]
                       {
                           if (parent->holds_slot)
                           {
                               this->finish_run(parent, call_result::answered);
                           }
                       });
    };
    if (call->pending_inner_calls == 0)
    {
        schedule_completion(call);
        return;
    }
    for (const std::size_t inner : routes)
    {
        const route_load& inner_route = this->plan.routes[inner];
        auto nested = std::make_shared<simulated_call>();
        nested->id = ++this->last_id;
        nested->route = inner;
        nested->daemon = call->target;
        nested->parent_priority = route.priority;
        nested->deadline =
            std::min(call->deadline, this->now + static_cast<double>(inner_route.deadline));
        nested->latency_target_at =
            std::min(this->now + static_cast<double>(inner_route.latency_target), nested->deadline);
        ++this->totals.routes[inner].calls;
        nested->done = [this, call, schedule_completion, inner](call_result result)
        {
            route_metrics& sum = this->totals.routes[inner];
            ++(result == call_result::answered  ? sum.within_latency_target
               : result == call_result::refused ? sum.refused
                                                : sum.failed);
            if (!call->holds_slot)
            {
                return;
            }
            if (result != call_result::answered)
            {
                const double utility = this->plan.routes[call->route].utility;
                this->totals.failed_inner +=
                    result == call_result::refused ? failed_inner_penalty * utility : 0;
                this->finish_run(call, call_result::failed);
                return;
            }
            if (--call->pending_inner_calls == 0)
            {
                schedule_completion(call);
            }
        };
        this->offer(nested);
    }
}

void simulation::finish_run(const std::shared_ptr<simulated_call>& call, call_result result)
{
    call->holds_slot = false;
    this->totals.slot_ms += this->now - call->started;
    upstream& server = this->upstreams[call->target];
    const route_load& route = this->plan.routes[call->route];
    const release_result released = sardinepoint::release_slot(
        server.queue,
        {.route = route.name,
         .service_time = static_cast<time_ms>(std::llround(this->now - call->started)),
         .answered = result == call_result::answered},
        this->now_ms());
    this->refuse_calls(released.expired);
    if (released.next)
    {
        auto entry = this->queued.extract(*released.next);
        if (!entry.empty())
        {
            this->start(entry.mapped());
        }
    }
    this->notify_daemon(call, [this, call, result] { this->end_attempt(call, result); });
}

void simulation::advertise_service_time(std::size_t index)
{
    upstream& server = this->upstreams[index];
    const auto value =
        sardinepoint::service_time_to_advertise(server.queue, server.advertised, this->now_ms());
    if (!value)
    {
        return;
    }
    server.advertised = {.value = *value, .changed_at = this->now_ms()};
    this->schedule(record_delay_ms,
                   [this, index, service = server.service, value = *value]
                   {
                       const std::size_t first = this->upstreams_by_service[service].front();
                       for (upstream& daemon : this->upstreams)
                       {
                           daemon.views[service][index - first].advertised_service_time = value;
                       }
                   });
}

void simulation::tick()
{
    for (std::size_t index = 0; index < this->upstreams.size(); ++index)
    {
        this->refuse_calls(
            sardinepoint::expire_waiting(this->upstreams[index].queue, this->now_ms()));
        if (this->evaluated_policy.advertises_service_time)
        {
            this->advertise_service_time(index);
        }
    }
    if (this->now < static_cast<double>(this->plan.duration) * 2)
    {
        this->schedule(tick_ms, [this] { this->tick(); });
    }
}

run_metrics simulation::run()
{
    for (const disturbance& change : this->plan.disturbances)
    {
        if (change.service.empty())
        {
            continue;
        }
        this->schedule(static_cast<double>(change.at),
                       [this, change]
                       {
                           const auto& members =
                               this->upstreams_by_service[this->service_index(change.service)];
                           const auto count = static_cast<std::size_t>(
                               std::ceil(change.fraction * static_cast<double>(members.size())));
                           for (std::size_t i = 0; i < count; ++i)
                           {
                               upstream& server = this->upstreams[members[i]];
                               const double until =
                                   this->now + static_cast<double>(change.duration);
                               (change.unavailable ? server.unavailable_until : server.slow_until) =
                                   until;
                               server.slow_factor = change.factor;
                           }
                       });
    }
    for (std::size_t route = 0; route < this->plan.routes.size(); ++route)
    {
        this->schedule_next_arrival(route);
    }
    this->tick();
    while (!this->events.empty())
    {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        (*next.run)();
    }
    return summarize_run(this->plan, this->totals);
}

} // namespace

run_metrics run_scenario(const scenario& plan, const policy& evaluated_policy, std::uint64_t seed)
{
    return simulation(plan, evaluated_policy, seed).run();
}

} // namespace model
