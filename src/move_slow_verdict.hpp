#pragma once

#include "sardinepoint/move.hpp"

#include <cstdint>
#include <string>

namespace sardinepoint
{

/** What the slow calls by upstream say about an ordered move. */
struct slow_call_verdict
{
    std::string reason;
    std::uint64_t answers = 0;
    bool harmful = false;
    bool doubtful = false;
    /** Whether the version is withdrawn while its calls are held back. */
    bool harmful_if_held = false;
    /** Whether a slow version is more likely than a good one. */
    bool likely = false;
    /** Whether the slow calls stem from few upstreams, so that their sum says nothing. */
    bool unlikely = false;
};

/** Counts to record: the old version's sum over the routes and the new version's by upstream. */
slow_counts make_slow_counts(const route_counters& sum, const evidence_totals& upstream_totals,
                             time_ms now);

/** Judges the slow calls by upstream that the history has recorded. */
slow_call_verdict judge_slow_calls(const move_spec& spec, const move_progress& progress,
                                   const move_history& history, const move_context& context);

} // namespace sardinepoint
