#include "model/load_figures.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <memory>
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
using sardinepoint::instance_view;
using sardinepoint::placement_request;
using sardinepoint::queue_report;
using sardinepoint::release_result;

// As in the daemon: the least wait that a refused caller is told, and the part of its time left
// that a caller waits at most.
constexpr double least_retry_after_ms = 40;
constexpr double longest_return_part = 1.0 / 3;
constexpr double tick_ms = 50;
// Prices, as parts of the worth of the call concerned.
constexpr double refused_again_price = 0.3;
constexpr double failed_inner_price = 0.3;

enum class ending
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
    double gone_until = 0;
    admission_queue queue;
    /** Calls of its daemon's callers, by service. */
    std::vector<std::vector<instance_view>> views;
};

struct model_call;
using ending_callback = std::function<void(ending)>;

/** One attempt of a caller or one call of a run. */
struct model_call
{
    std::uint64_t id = 0;
    std::size_t route = 0;
    std::size_t daemon = 0;
    double goal_at = 0;
    double deadline = 0;
    int parent_priority = 0;
    std::vector<std::string> tried;
    int offers = 0;
    std::size_t target = 0;
    double started = 0;
    bool holds_slot = false;
    int inner_left = 0;
    double work_left = 0;
    ending_callback done;
};

/** A caller's request with its returns. */
struct caller
{
    std::size_t route = 0;
    double began = 0;
    int attempts = 0;
    int locality = 0;
};

class simulation
{
public:
    simulation(const scenario& plan, const policy& decisions, std::uint64_t seed)
        : plan(plan), decisions(decisions), random(seed)
    {
        this->build();
    }

    figures run();

private:
    using action = std::function<void()>;

    void build();
    void after(double delay, action next);
    void add_arrivals(std::size_t route);
    void arrive(const std::shared_ptr<caller>& who);
    void end_attempt(const std::shared_ptr<caller>& who, const std::shared_ptr<model_call>& call,
                     ending how);
    void settle(const caller& who, ending how, bool late);
    void offer(const std::shared_ptr<model_call>& call);
    void admit_call(const std::shared_ptr<model_call>& call);
    void start(const std::shared_ptr<model_call>& call);
    void make_inner_calls(const std::shared_ptr<model_call>& call);
    void finish_run(const std::shared_ptr<model_call>& call, ending how);
    void refuse(const std::shared_ptr<model_call>& call);
    void report_back(const std::shared_ptr<model_call>& call, action next);
    void refuse_ids(const std::vector<std::uint64_t>& ids);
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

    // Views treat the time 0 as "no report yet".
    static constexpr time_ms clock_start = 1000;

    const scenario& plan;
    const policy& decisions;
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
    std::vector<std::vector<std::size_t>> of_service;
    /** Service of each route. */
    std::vector<std::size_t> service_of;
    std::map<std::uint64_t, std::shared_ptr<model_call>> queued;

    run_totals totals;
};

std::size_t simulation::service_index(const std::string& name) const
{
    const auto found =
        std::find_if(this->plan.services.begin(), this->plan.services.end(),
                     [&](const service_setup& service) { return service.name == name; });
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
        const service_setup& setup = this->plan.services[s];
        this->of_service.emplace_back();
        for (int i = 0; i < setup.upstreams; ++i)
        {
            upstream server{.service = s,
                            .locality = i % this->plan.localities,
                            .speed =
                                setup.speeds[static_cast<std::size_t>(i) % setup.speeds.size()]};
            server.queue.slots = setup.slots;
            server.queue.options = this->decisions.admission;
            this->of_service.back().push_back(this->upstreams.size());
            this->upstreams.push_back(std::move(server));
        }
    }
    for (upstream& daemon : this->upstreams)
    {
        for (const auto& members : this->of_service)
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
        this->service_of.push_back(this->service_index(route.service));
    }
    this->totals.seconds.resize(static_cast<std::size_t>(this->plan.length / 1000 + 1));
    this->totals.localities.resize(static_cast<std::size_t>(this->plan.localities));
}

void simulation::after(double delay, action next)
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
                            this->now < static_cast<double>(change.at + change.length);
        factor *= change.service.empty() && active ? change.factor : 1;
    }
    return factor;
}

void simulation::add_arrivals(std::size_t route)
{
    const double rate = this->plan.routes[route].per_second * this->load_factor() / 1000;
    if (this->now >= static_cast<double>(this->plan.length) || rate <= 0)
    {
        return;
    }
    this->after(std::exponential_distribution<double>(rate)(this->random),
                [this, route]
                {
                    if (this->now >= static_cast<double>(this->plan.length))
                    {
                        return;
                    }
                    auto who = std::make_shared<caller>();
                    who->route = route;
                    who->began = this->now;
                    who->locality = std::uniform_int_distribution<int>(0, this->plan.localities -
                                                                              1)(this->random);
                    const double worth = this->plan.routes[route].worth;
                    ++this->totals.routes[route].calls;
                    this->totals.seconds[static_cast<std::size_t>(this->now / 1000)].owed += worth;
                    this->totals.localities[static_cast<std::size_t>(who->locality)].owed += worth;
                    this->arrive(who);
                    this->add_arrivals(route);
                });
}

void simulation::arrive(const std::shared_ptr<caller>& who)
{
    const route_load& route = this->plan.routes[who->route];
    std::vector<std::size_t> near;
    for (std::size_t i = 0; i < this->upstreams.size(); ++i)
    {
        if (this->upstreams[i].locality == who->locality)
        {
            near.push_back(i);
        }
    }
    ++who->attempts;
    auto call = std::make_shared<model_call>();
    call->id = ++this->last_id;
    call->route = who->route;
    call->daemon =
        near[std::uniform_int_distribution<std::size_t>(0, near.size() - 1)(this->random)];
    // The daemon is told what is left of the caller's time and may know from it how long ago the
    // first attempt was.
    call->parent_priority = route.priority;
    call->deadline = who->began + static_cast<double>(route.deadline);
    const double goal_from =
        this->decisions.knows_first_attempt ? who->began : this->now + this->plan.caller_ms;
    call->goal_at = std::min(goal_from + static_cast<double>(route.goal), call->deadline);
    call->done = [this, who, call_ptr = std::weak_ptr(call)](ending how)
    {
        if (const auto ended = call_ptr.lock())
        {
            this->end_attempt(who, ended, how);
        }
    };
    this->after(this->plan.caller_ms, [this, call] { this->offer(call); });
}

void simulation::end_attempt(const std::shared_ptr<caller>& who,
                             const std::shared_ptr<model_call>& call, ending how)
{
    const route_load& route = this->plan.routes[who->route];
    const double arrives = this->now + this->plan.caller_ms;
    const double deadline = who->began + static_cast<double>(route.deadline);
    if (how == ending::answered && arrives <= deadline)
    {
        this->settle(*who, how, arrives > who->began + static_cast<double>(route.goal));
        return;
    }
    if (how == ending::refused && who->attempts <= route.retries)
    {
        const double shortest =
            sardinepoint::shortest_wait(
                this->upstreams[call->daemon].views[this->service_of[who->route]],
                this->decisions.placing, this->now_ms())
                .value_or(std::numeric_limits<double>::max());
        const double longest = std::max((deadline - arrives) * longest_return_part, 0.0);
        const double wait = std::clamp(shortest * this->decisions.return_factor,
                                       std::min(least_retry_after_ms, longest), longest);
        this->after(this->plan.caller_ms + wait, [this, who] { this->arrive(who); });
        return;
    }
    this->settle(*who, how == ending::answered ? ending::failed : how, false);
}

void simulation::settle(const caller& who, ending how, bool late)
{
    const route_load& route = this->plan.routes[who.route];
    route_figures& sum = this->totals.routes[who.route];
    if (how == ending::answered)
    {
        const double worth = late ? route.late_worth : route.worth;
        ++(late ? sum.late : sum.in_goal);
        sum.worth += worth;
        this->totals.seconds[static_cast<std::size_t>(who.began / 1000)].earned += worth;
        this->totals.localities[static_cast<std::size_t>(who.locality)].earned += worth;
        return;
    }
    ++(how == ending::refused ? sum.refused : sum.failed);
    if (who.attempts > 1)
    {
        ++sum.refused_again;
        this->totals.refused_again += refused_again_price * route.worth;
    }
}

double simulation::delay_between(std::size_t left, std::size_t right) const
{
    return this->upstreams[left].locality == this->upstreams[right].locality
               ? 0.1
               : this->plan.locality_ms;
}

void simulation::offer(const std::shared_ptr<model_call>& call)
{
    const std::size_t service = this->service_of[call->route];
    upstream& daemon = this->upstreams[call->daemon];
    const std::string member = "vm-" + std::to_string(call->daemon);
    const std::string locality = std::to_string(daemon.locality);
    const placement_request request{
        .own_member = member, .locality = locality, .tried = call->tried};
    if (daemon.service == service)
    {
        instance_view& own =
            daemon.views[service][call->daemon - this->of_service[service].front()];
        sardinepoint::record_report(own, sardinepoint::make_report(daemon.queue), this->now_ms());
    }
    const auto chosen =
        call->offers < this->decisions.most_offers && this->now < call->deadline
            ? sardinepoint::place_call(daemon.views[service], request, this->decisions.placing,
                                       this->now_ms(), this->random)
            : std::nullopt;
    if (!chosen)
    {
        call->done(ending::refused);
        return;
    }
    instance_view& view = daemon.views[service][chosen->index];
    sardinepoint::record_sent(view);
    ++call->offers;
    call->tried.push_back(view.instance);
    call->target = this->of_service[service][chosen->index];
    this->after(this->delay_between(call->daemon, call->target),
                [this, call] { this->admit_call(call); });
}

void simulation::admit_call(const std::shared_ptr<model_call>& call)
{
    upstream& server = this->upstreams[call->target];
    const route_load& route = this->plan.routes[call->route];
    if (this->now < server.gone_until)
    {
        this->refuse(call);
        return;
    }
    const admission decision =
        sardinepoint::admit(server.queue,
                            {.id = call->id,
                             .route = route.name,
                             .priority = route.priority,
                             .parent_priority = call->parent_priority,
                             .goal_at = static_cast<time_ms>(call->goal_at) + clock_start,
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
    this->refuse_ids(decision.displaced);
}

void simulation::refuse_ids(const std::vector<std::uint64_t>& ids)
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

/** The call's daemon learns that it has ended at its target, and of the queue there. */
void simulation::report_back(const std::shared_ptr<model_call>& call, action next)
{
    const queue_report report = sardinepoint::make_report(this->upstreams[call->target].queue);
    this->after(this->delay_between(call->daemon, call->target),
                [this, call, report, target = call->target, next = std::move(next)]
                {
                    const std::size_t service = this->upstreams[target].service;
                    for (instance_view& view : this->upstreams[call->daemon].views[service])
                    {
                        if (view.instance == std::to_string(target))
                        {
                            sardinepoint::record_ended(view);
                            sardinepoint::record_report(view, report, this->now_ms());
                        }
                    }
                    next();
                });
}

void simulation::refuse(const std::shared_ptr<model_call>& call)
{
    this->report_back(call, [this, call] { this->offer(call); });
}

double simulation::sample_work(const route_load& route)
{
    // Lognormal with the route's mean.
    const double mu = std::log(std::max(route.work_ms, 0.01)) - route.spread * route.spread / 2;
    return std::min(std::lognormal_distribution<double>(mu, route.spread)(this->random),
                    route.most_work_ms);
}

void simulation::start(const std::shared_ptr<model_call>& call)
{
    upstream& server = this->upstreams[call->target];
    call->holds_slot = true;
    call->started = this->now;
    const double slow = this->now < server.slow_until ? server.slow_factor : 1;
    const double work = this->sample_work(this->plan.routes[call->route]) * slow / server.speed;
    // Runs call others half-way.
    call->work_left = work / 2;
    this->after(work / 2, [this, call] { this->make_inner_calls(call); });
    this->after(std::max(call->deadline - this->now, 0.0),
                [this, call]
                {
                    if (call->holds_slot)
                    {
                        this->finish_run(call, ending::failed);
                    }
                });
}

void simulation::make_inner_calls(const std::shared_ptr<model_call>& call)
{
    if (!call->holds_slot)
    {
        return;
    }
    const route_load& route = this->plan.routes[call->route];
    std::vector<std::size_t> routes;
    for (const inner_calls& inner : route.calls)
    {
        const bool makes = std::uniform_real_distribution<double>(0, 1)(this->random) < inner.share;
        routes.insert(routes.end(), static_cast<std::size_t>(makes ? inner.times : 0),
                      this->route_index(inner.route));
    }
    call->inner_left = static_cast<int>(routes.size());
    const auto go_on = [this](const std::shared_ptr<model_call>& parent)
    {
        this->after(parent->work_left,
                    [this, parent]
                    {
                        if (parent->holds_slot)
                        {
                            this->finish_run(parent, ending::answered);
                        }
                    });
    };
    if (call->inner_left == 0)
    {
        go_on(call);
        return;
    }
    for (const std::size_t inner : routes)
    {
        const route_load& inner_route = this->plan.routes[inner];
        auto nested = std::make_shared<model_call>();
        nested->id = ++this->last_id;
        nested->route = inner;
        nested->daemon = call->target;
        nested->parent_priority = route.priority;
        nested->deadline =
            std::min(call->deadline, this->now + static_cast<double>(inner_route.deadline));
        nested->goal_at =
            std::min(this->now + static_cast<double>(inner_route.goal), nested->deadline);
        ++this->totals.routes[inner].calls;
        nested->done = [this, call, go_on, inner](ending how)
        {
            route_figures& sum = this->totals.routes[inner];
            ++(how == ending::answered  ? sum.in_goal
               : how == ending::refused ? sum.refused
                                        : sum.failed);
            if (!call->holds_slot)
            {
                return;
            }
            if (how != ending::answered)
            {
                const double worth = this->plan.routes[call->route].worth;
                this->totals.failed_inner +=
                    how == ending::refused ? failed_inner_price * worth : 0;
                this->finish_run(call, ending::failed);
                return;
            }
            if (--call->inner_left == 0)
            {
                go_on(call);
            }
        };
        this->offer(nested);
    }
}

void simulation::finish_run(const std::shared_ptr<model_call>& call, ending how)
{
    call->holds_slot = false;
    upstream& server = this->upstreams[call->target];
    const route_load& route = this->plan.routes[call->route];
    const release_result freed = sardinepoint::release_slot(
        server.queue,
        {.route = route.name,
         .held = static_cast<time_ms>(std::llround(this->now - call->started)),
         .answered = how == ending::answered},
        this->now_ms());
    this->refuse_ids(freed.expired);
    if (freed.next)
    {
        auto entry = this->queued.extract(*freed.next);
        if (!entry.empty())
        {
            this->start(entry.mapped());
        }
    }
    this->report_back(call, [call, how] { call->done(how); });
}

void simulation::tick()
{
    for (upstream& server : this->upstreams)
    {
        this->refuse_ids(sardinepoint::expire_waiting(server.queue, this->now_ms()));
    }
    if (this->now < static_cast<double>(this->plan.length) * 2)
    {
        this->after(tick_ms, [this] { this->tick(); });
    }
}

figures simulation::run()
{
    for (const disturbance& change : this->plan.disturbances)
    {
        if (change.service.empty())
        {
            continue;
        }
        this->after(static_cast<double>(change.at),
                    [this, change]
                    {
                        const auto& members = this->of_service[this->service_index(change.service)];
                        const auto count = static_cast<std::size_t>(
                            std::ceil(change.share * static_cast<double>(members.size())));
                        for (std::size_t i = 0; i < count; ++i)
                        {
                            upstream& server = this->upstreams[members[i]];
                            const double until = this->now + static_cast<double>(change.length);
                            (change.gone ? server.gone_until : server.slow_until) = until;
                            server.slow_factor = change.factor;
                        }
                    });
    }
    for (std::size_t route = 0; route < this->plan.routes.size(); ++route)
    {
        this->add_arrivals(route);
    }
    this->tick();
    while (!this->events.empty())
    {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        (*next.run)();
    }
    return sum_up(this->plan, this->totals);
}

} // namespace

figures play(const scenario& plan, const policy& decisions, std::uint64_t seed)
{
    return simulation(plan, decisions, seed).run();
}

} // namespace model
