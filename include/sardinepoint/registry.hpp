#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace sardinepoint
{

/** Process-wide registry of plug-ins of one type, by name. */
template <class T>
class registry
{
public:
    using entry_map = std::map<std::string, T, std::less<>>;

    /** Adds a plug-in; returns false if the name is already registered. */
    static bool add(std::string name, T value)
    {
        return mutable_entries().emplace(std::move(name), std::move(value)).second;
    }

    /** Returns the plug-in with this name, or nullptr. */
    static const T* find(std::string_view name)
    {
        const auto position = entries().find(name);
        return position == entries().end() ? nullptr : &position->second;
    }

    static const entry_map& entries()
    {
        return mutable_entries();
    }

private:
    // Function-local, so that it is constructed before static registrations in any translation unit
    // use it.
    static entry_map& mutable_entries()
    {
        static entry_map values;
        return values;
    }
};

/** A static object of this type registers a plug-in before main starts. */
template <class T>
struct registration
{
    registration(std::string name, T value)
    {
        registry<T>::add(std::move(name), std::move(value));
    }
};

} // namespace sardinepoint
