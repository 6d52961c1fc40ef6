#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace sardinepoint
{

/** Notes where a daemon can be reached; an empty id or an invalid endpoint is ignored. */
void add_contact(node& self, const std::string& id, const std::string& domain,
                 const std::string& control);

/** Contacts of a domain, the most reliable first. */
std::vector<peer_contact*> contacts_in_domain(node& self, const std::string& domain);

/** Whether this daemon knows no live member of its failure domain but itself. */
bool alone_in_domain(const node& self);

/** A few contacts of a domain, for a daemon that can't read them from the log. */
nlohmann::json contacts_json(node& self, const std::string& domain);

/** Takes over contacts of the own domain and exchanges digests with them. */
void merge_contacts(node& self, const nlohmann::json& values);

/** Exchanges digests with the configured seeds. */
void join_seeds(node& self);

/** Appends this daemon's control endpoint to the log and reads those of others. */
void announce_control_endpoint(node& self);

/** Looks for contacts if this daemon lacks peers. */
void discover_peers(node& self);

} // namespace sardinepoint
