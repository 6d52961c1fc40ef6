#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sardinepoint
{

/** Plug-ins of one type by name. Fill it from static `registration` objects before threads start.
 */
template <typename T>
class registry
{
public:
    /** Registers a plug-in; the first one under a name stays. */
    static bool add(std::string name, T value)
    {
        return entries().emplace(std::move(name), std::move(value)).second;
    }

    /** The plug-in of that name, if any. */
    static std::optional<T> find(std::string_view name)
    {
        const auto found = entries().find(name);
        if (found == entries().end())
        {
            return std::nullopt;
        }
        return found->second;
    }

private:
    // A function-local static exists before any registration object of another file runs.
    static std::map<std::string, T, std::less<>>& entries()
    {
        static std::map<std::string, T, std::less<>> values;
        return values;
    }
};

/** Registers a plug-in when a static object of this type is constructed. */
template <typename T>
struct registration
{
    registration(std::string name, T value)
    {
        registry<T>::add(std::move(name), std::move(value));
    }
};

} // namespace sardinepoint
