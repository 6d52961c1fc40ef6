#include "sardinepoint/config.hpp"

namespace sardinepoint
{

std::vector<move_step> default_steps()
{
    return {{.share = 1, .start_fraction = 0},
            {.share = 5, .start_fraction = 0.1},
            {.share = 25, .start_fraction = 0.7},
            {.share = 100, .start_fraction = 0.9}};
}

} // namespace sardinepoint
