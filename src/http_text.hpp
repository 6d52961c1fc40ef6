#pragma once

#include "sardinepoint/http.hpp"

#include <span>
#include <string>
#include <vector>

namespace sardinepoint
{

/** Copies the header fields of a parsed message in their original order. */
template <typename Fields>
std::vector<http_header> copy_headers(const Fields& fields)
{
    std::vector<http_header> headers;
    for (const auto& field : fields)
    {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

/** Appends the header lines without the terminating empty line. */
inline void append_headers(std::string& text, std::span<const http_header> headers)
{
    for (const http_header& header : headers)
    {
        text += header.name + ": " + header.value + "\r\n";
    }
}

} // namespace sardinepoint
