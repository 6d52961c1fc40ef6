#define BOOST_TEST_MODULE cold_property
#include <boost/test/unit_test.hpp>

#include "cold/cold_gate.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace sardinepoint;

namespace
{

constexpr time_ms second_ms = 1000;
constexpr cold_rate usual_rate{.per_s = 17, .excess = 1.5, .slack = 8};

/** What a wrong daemon does differently in the property test. */
enum class fault
{
    none,
    /** Takes the evidence as of the receipt of the health response. */
    evidence_from_receipt,
    /** Forgets at a restart that calls may have started just before. */
    forgets_starts,
    /** Believes each late announcement that says "not cold". */
    trusts_announcements,
};

/** A message that arrives later than it was sent. */
struct delayed_message
{
    time_ms arrives_at = 0;
    time_ms cold_left = 0;
    std::uint64_t sequence = 0;
    /** Empty if the message is a health response. */
    bool is_announcement = false;
};

/** An upstream that becomes cold at any moment, and the daemon beside it, in virtual time. */
struct simulation
{
    std::mt19937_64 random;
    fault broken = fault::none;
    cold_gate gate = make_cold_gate(make_cold_limits(usual_rate), 0);
    std::vector<std::pair<time_ms, time_ms>> cold_phases;
    /** Arrivals at the upstream while it is cold. */
    std::vector<time_ms> cold_arrivals;
    std::vector<delayed_message> messages;
    std::optional<time_ms> health_lost_at;
    std::uint64_t sequence = 0;
    std::uint64_t known_sequence = 0;
    int started = 0;
    int health_requests = 0;
    time_ms serves_from = 0;

    time_ms uniform(time_ms low, time_ms high)
    {
        return std::uniform_int_distribution<time_ms>(low, high)(this->random);
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    time_ms cold_left_at(time_ms now) const
    {
        for (const auto& [from, until] : this->cold_phases)
        {
            if (now >= from && now < until)
            {
                return until - now;
            }
        }
        return 0;
    }

    void add_cold_phases(time_ms end)
    {
        for (time_ms at = this->uniform(0, 3000); at < end;)
        {
            const time_ms until = at + this->uniform(1500, 4000);
            this->cold_phases.emplace_back(at, until);
            at = until + this->uniform(100, 6000);
        }
    }

    void arrive(time_ms now)
    {
        // The delay that the gate allows for.
        const time_ms at = now + this->uniform(0, 25);
        if (this->cold_left_at(at) > 0)
        {
            this->cold_arrivals.push_back(at);
        }
    }

    void send_health_request(time_ms now)
    {
        ++this->health_requests;
        record_probe_sent(this->gate, now);
        this->arrive(now);
        if (this->chance(0.2))
        {
            this->health_lost_at = now + 500;
            return;
        }
        const time_ms answered_at = now + this->uniform(1, 100);
        this->messages.push_back({.arrives_at = answered_at + this->uniform(0, 200),
                                  .cold_left = this->cold_left_at(answered_at)});
    }

    void receive(const delayed_message& message, time_ms now)
    {
        if (!message.is_announcement)
        {
            if (this->broken == fault::evidence_from_receipt && this->gate.probe_sent_at)
            {
                record_probe_sent(this->gate, now);
            }
            record_probe_result(this->gate, message.cold_left, now);
            return;
        }
        if (message.sequence <= this->known_sequence)
        {
            return;
        }
        this->known_sequence = message.sequence;
        record_announced_cold(this->gate, message.cold_left, now);
        if (this->broken == fault::trusts_announcements && message.cold_left == 0)
        {
            this->gate.warm_at = now;
        }
    }

    void deliver(time_ms now)
    {
        std::vector<delayed_message> due;
        std::erase_if(this->messages,
                      [&](const delayed_message& message)
                      {
                          const bool is_due = message.arrives_at <= now;
                          if (is_due)
                          {
                              due.push_back(message);
                          }
                          return is_due;
                      });
        for (const delayed_message& message : due)
        {
            this->receive(message, now);
        }
        if (this->health_lost_at && *this->health_lost_at <= now)
        {
            this->health_lost_at.reset();
            record_probe_result(this->gate, std::nullopt, now);
        }
    }

    void restart(time_ms now)
    {
        this->serves_from = now + this->uniform(20, 300);
        this->gate = make_cold_gate(make_cold_limits(usual_rate), this->serves_from);
        if (this->broken == fault::forgets_starts)
        {
            this->gate.starts.clear();
        }
        this->health_lost_at.reset();
        this->known_sequence = 0;
        // The responses to the former process's requests are lost; announcements are not.
        std::erase_if(this->messages,
                      [](const delayed_message& message) { return !message.is_announcement; });
    }

    void try_start(time_ms now)
    {
        if (time_until_room(this->gate, now) == 0)
        {
            record_start(this->gate, now);
            ++this->started;
            this->arrive(now);
        }
    }

    /** Plays arrivals of calls whose rate changes each half second, from none to bursts. */
    void run(time_ms end)
    {
        this->add_cold_phases(end);
        double calls_per_ms = 0;
        for (time_ms now = 0; now < end; ++now)
        {
            if (now % 500 == 0)
            {
                constexpr std::array<double, 5> rates{0.005, 0.017, 0.04, 0.09, 0.5};
                calls_per_ms = rates.at(static_cast<std::size_t>(this->uniform(0, 4)));
            }
            if (now % 1500 == 0)
            {
                this->messages.push_back(
                    {.arrives_at = now + (this->chance(0.3) ? this->uniform(0, 4000) : 5),
                     .cold_left = this->cold_left_at(now),
                     .sequence = ++this->sequence,
                     .is_announcement = true});
            }
            if (this->chance(0.0001))
            {
                this->restart(now);
            }
            if (now < this->serves_from)
            {
                continue;
            }
            this->deliver(now);
            const int calls = std::poisson_distribution<int>(calls_per_ms)(this->random);
            for (int i = 0; i < calls; ++i)
            {
                this->try_start(now);
            }
            if (calls > 0 && wants_probe(this->gate, now))
            {
                this->send_health_request(now);
            }
        }
    }

    /** Most arrivals in any second while the upstream was cold. */
    std::size_t most_in_a_second()
    {
        std::sort(this->cold_arrivals.begin(), this->cold_arrivals.end());
        std::size_t most = 0;
        for (auto first = this->cold_arrivals.begin(); first != this->cold_arrivals.end(); ++first)
        {
            const auto end = std::lower_bound(first, this->cold_arrivals.end(), *first + second_ms);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
};

/** Number of runs, of those with consecutive seeds, in which the bound was exceeded. */
int runs_above_bound(fault broken, int runs)
{
    const double bound = usual_rate.per_s * usual_rate.excess + usual_rate.slack;
    constexpr time_ms run_ms = 30'000;
    int above = 0;
    for (int seed = 1; seed <= runs; ++seed)
    {
        simulation run{.random = std::mt19937_64(static_cast<std::uint64_t>(seed)),
                       .broken = broken};
        run.run(run_ms);
        const std::size_t most = run.most_in_a_second();
        above += static_cast<double>(most) > bound ? 1 : 0;
        if (broken == fault::none)
        {
            BOOST_TEST(static_cast<double>(most) <= bound, "seed " << seed << ": " << most);
        }
    }
    return above;
}

} // namespace

// Guards against more starts in a second than a cold upstream bears, for any pattern of arrivals,
// moment of the cold time, restart, late announcement and lost health response.
BOOST_AUTO_TEST_CASE(bound_holds_in_every_second)
{
    BOOST_TEST(runs_above_bound(fault::none, 400) == 0);
}

// Guards against a property test that finds nothing.
BOOST_AUTO_TEST_CASE(broken_variants_exceed_the_bound)
{
    for (const fault broken :
         {fault::evidence_from_receipt, fault::forgets_starts, fault::trusts_announcements})
    {
        const int above = runs_above_bound(broken, 400);
        BOOST_TEST_MESSAGE("variant " << static_cast<int>(broken) << " exceeds the bound in "
                                      << above << " of 400 runs");
        BOOST_TEST(above > 0);
    }
}

// Guards against health requests that cost a large share of the calls at a warm upstream.
BOOST_AUTO_TEST_CASE(warm_upstream_runs_at_full_rate_with_few_health_requests)
{
    simulation run{.random = std::mt19937_64(1)};
    run.gate = {.limits = make_cold_limits(usual_rate)};
    int offered = 0;
    for (time_ms now = 0; now < 60'000; ++now)
    {
        run.deliver(now);
        if (now % 20 == 0)
        {
            ++offered;
            run.try_start(now);
            if (wants_probe(run.gate, now))
            {
                ++run.health_requests;
                record_probe_sent(run.gate, now);
                run.messages.push_back({.arrives_at = now + 20});
            }
        }
    }
    BOOST_TEST(run.started == offered);
    BOOST_TEST_MESSAGE(run.health_requests << " health requests for " << run.started << " calls");
    BOOST_TEST(run.health_requests * 10 < run.started);
}
