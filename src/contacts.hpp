#pragma once

#include "node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace sardinepoint
{

/** Stores where a daemon can be reached; an empty id or an invalid endpoint is ignored. */
void add_contact(node& self, const std::string& id, const std::string& domain,
                 const std::string& control);

/** Contacts of a domain, those with the fewest failures first, in random order among equals. */
std::vector<peer_contact*> contacts_in_domain(node& self, const std::string& domain);

/** Whether this daemon knows no available member of its failure domain except itself. */
bool alone_in_domain(const node& self);

/**
 * Some contacts of a domain, for a peer that knows no other member of it and can't read the log.
 */
nlohmann::json contacts_json(node& self, const std::string& domain);

/** Stores the contacts that a peer sent, all in this daemon's domain; if any is new, exchanges
 * digests with some. */
void merge_contacts(node& self, const nlohmann::json& values);

/** Exchanges digests with the configured seeds. */
void join_seeds(node& self);

/** Appends this daemon's control endpoint to the log, then reads the announcements of others. */
void announce_control_endpoint(node& self);

/**
 * Searches the log and the seeds for peers if this daemon lacks members of its own domain, the
 * configuration or, as a gateway, contacts in other domains. Also repeats the announcement of a
 * gateway when due. Called periodically.
 */
void discover_peers(node& self);

} // namespace sardinepoint
