#pragma once

#include "model/load_model.hpp"

#include <vector>

namespace model
{

/** What a run adds up. */
struct run_totals
{
    /** Their worth is what was earned. */
    std::vector<route_metrics> routes;
    std::vector<utility_totals> seconds;
    std::vector<utility_totals> localities;
    /** Prices in worth. */
    double refused_again = 0;
    double failed_inner = 0;
};

/** The figures of a run: parts of what was owed, prices, and their weighted sum. */
run_metrics summarize_run(const scenario& plan, const run_totals& totals);

} // namespace model
